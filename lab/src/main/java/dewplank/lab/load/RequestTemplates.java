package dewplank.lab.load;

import dewplank.http.MessageWriter;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The bytes of a plan's requests: built once where no header asks for an id, else for each request. */
final class RequestTemplates {
    private static final String ID = "{id}";
    private static final String CLASS = "{class}";
    private static final String NO_ID = "";

    private final LoadPlan plan;
    private final boolean areConstant;
    private final List<List<ByteBuffer>> constants = new ArrayList<>(); // by target and class

    RequestTemplates(LoadPlan plan) {
        this.plan = plan;
        this.areConstant = plan.headers().stream().noneMatch(header -> header.contains(ID));
        if (areConstant) {
            for (LoadPlan.Target target : plan.targets()) {
                constants.add(plan.classes().stream()
                        .map(requestClass -> build(target, requestClass, NO_ID))
                        .toList());
            }
        }
    }

    /** A request's bytes, which the caller must not change. */
    ByteBuffer request(int target, int requestClass, long id) {
        return areConstant
                ? constants.get(target).get(requestClass)
                : build(plan.targets().get(target), plan.classes().get(requestClass), Long.toHexString(id));
    }

    private ByteBuffer build(LoadPlan.Target target, LoadPlan.RequestClass requestClass, String id) {
        MessageWriter writer = MessageWriter.request(requestClass.method(), target.path(), target.host());
        for (String header : plan.headers()) {
            int colon = header.indexOf(':');
            String name = header.substring(0, colon).strip();
            String value = header.substring(colon + 1).strip();
            writer.header(name, value.replace(ID, id).replace(CLASS, requestClass.name()));
        }
        return requestClass.mayOmitBody() ? writer.noBody() : writer.body(new byte[requestClass.bodyBytes()]);
    }
}
