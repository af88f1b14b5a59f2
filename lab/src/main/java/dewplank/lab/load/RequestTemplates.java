package dewplank.lab.load;

import dewplank.http.MessageWriter;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The encoded requests of a plan: built once if no header contains an id, otherwise for each request. */
final class RequestTemplates {
    private static final String ID = "{id}";
    private static final String CLASS = "{class}";
    private static final String NO_ID = "";

    private final LoadPlan plan;
    private final boolean areConstant;
    private final List<List<ByteBuffer>> constantRequests = new ArrayList<>(); // indexed by target, then class

    RequestTemplates(LoadPlan plan) {
        this.plan = plan;
        this.areConstant = plan.headers().stream().noneMatch(header -> header.contains(ID));
        if (areConstant) {
            for (LoadPlan.Target target : plan.targets()) {
                constantRequests.add(plan.classes().stream()
                        .map(requestClass -> build(target, requestClass, NO_ID))
                        .toList());
            }
        }
    }

    /** The encoded request, which the caller must not modify. */
    ByteBuffer request(int target, int requestClass, long id) {
        return areConstant
                ? constantRequests.get(target).get(requestClass)
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
