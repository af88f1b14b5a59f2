package dewplank.controlplane;

/** A response of the platform or of a model server is not the JSON that its interface specifies. */
final class UnreadableResponseException extends Exception {
    UnreadableResponseException(Throwable cause) {
        super(cause);
    }
}
