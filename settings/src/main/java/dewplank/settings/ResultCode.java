package dewplank.settings;

/**
 * Numbered results that operators see: of requests to the operators' interface (with the HTTP status of the response),
 * of reading a settings file, of starting a process, and of the operators' client. docs/result-codes.md lists the codes
 * and the action to take for each.
 */
public enum ResultCode {
    OK(100, 200),
    ALREADY_TAKEN(101, 200),
    NO_SUCH_PATH(201, 404),
    NO_SUCH_METHOD(202, 405),
    IF_MATCH_MISSING(203, 400),
    INVALID_CONFIGURATION(204, 400),
    VERSION_MISMATCH(205, 412),
    NO_CONFIGURATION(206, 404),
    NO_SUCH_SERVER(207, 404),
    NO_SUCH_ROUTE(208),
    IF_MATCH_MALFORMED(209, 400),
    NO_QUORUM(301, 503),
    ENDING(302, 503),
    NOT_CURRENT(303, 503),
    BEYOND_HISTORY(304, 503),
    ELSEWHERE(305, 307),
    FOUNDERS_LOST(306, 503),
    VARIABLE_NOT_SET(601),
    FILE_UNREADABLE(602),
    NOT_JSON(603),
    KEY_MISSING(604),
    KEY_OF_WRONG_TYPE(605),
    KEY_OUT_OF_RANGE(606),
    NO_ROLE(607),
    DISK_NOT_USABLE(701),
    ADDRESS_NOT_USABLE(702),
    START_FAILED(703),
    NO_ANSWER(801),
    ANSWER_UNREADABLE(802);

    private static final int NO_STATUS = 0;

    private final int number;
    private final int status;

    ResultCode(int number) {
        this(number, NO_STATUS);
    }

    ResultCode(int number, int status) {
        this.number = number;
        this.status = status;
    }

    /** The number; the number of a name never changes. */
    public int number() {
        return number;
    }

    /** The HTTP status of a response with this result; 0 if no response has it. */
    public int status() {
        return status;
    }

    /** Returns the line that operators see: number, name and detail. */
    public String line(String detail) {
        return number + " " + this + ": " + detail;
    }
}
