package dewplank.emulator.fleet;

import java.util.ArrayList;
import java.util.List;

/** The texts of a stream's events. Each depends only on the ids of the attempt and the event, not on the server. */
final class StreamEvents {
    private static final String END = "\n\n";

    private StreamEvents() {}

    static String text(String attemptId, int id) {
        return "id: " + id + "\ndata: token " + id + " of " + attemptId + END;
    }

    /** Returns the text of a complete stream. */
    static String stream(String attemptId, int events) {
        StringBuilder stream = new StringBuilder();
        for (int id = 1; id <= events; id++) {
            stream.append(text(attemptId, id));
        }
        return stream.toString();
    }

    /** Returns the complete events in the received part of a stream. */
    static List<String> complete(String text) {
        List<String> events = new ArrayList<>();
        int start = 0;
        for (int end = text.indexOf(END); end >= 0; end = text.indexOf(END, start)) {
            events.add(text.substring(start, end + END.length()));
            start = end + END.length();
        }
        return events;
    }
}
