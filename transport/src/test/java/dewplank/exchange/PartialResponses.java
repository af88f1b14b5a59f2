package dewplank.exchange;

import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Responses whose length or chunks show that they are not complete. */
public final class PartialResponses {
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    private PartialResponses() {}

    /** A response with a length and one in chunks, each cut at every byte. */
    public static Stream<String> all() {
        return withFields("");
    }

    /** The same, cut at every byte after these fields, each of which has its line end. */
    public static Stream<String> withFields(String fields) {
        String head = STATUS_LINE + fields;
        return Stream.of("Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
                .flatMap(
                        rest -> IntStream.range(0, rest.length()).mapToObj(length -> head + rest.substring(0, length)));
    }
}
