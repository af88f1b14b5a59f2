package dewplank.http;

/**
 * Parses the line before a chunk (RFC 9112, section 7.1): its size in hexadecimal digits and extensions, which are
 * discarded. Takes one byte at a time and stores no text.
 */
final class ChunkSizeParser {
    private static final int MAX_DIGITS = 8;
    private static final int RADIX_BITS = 4;

    private long size;
    private int digits;
    private boolean isAfterSize;
    private boolean isInExtension;

    /** Takes the next byte of the line; returns whether it was the last one. */
    boolean feed(byte next) throws BadMessageException {
        if (next == '\n') {
            requireDigits();
            return true;
        }
        if (isInExtension) {
            return false;
        }
        switch (next) {
            case ' ', '\t', '\r' -> isAfterSize = digits > 0;
            case ';' -> {
                requireDigits();
                isInExtension = true;
            }
            default -> addDigit(next);
        }
        return false;
    }

    private void requireDigits() throws BadMessageException {
        if (digits == 0) {
            throw malformed();
        }
    }

    private void addDigit(byte next) throws BadMessageException {
        int digit = next < 0 ? -1 : Character.digit(next, 1 << RADIX_BITS);
        if (digit < 0 || isAfterSize || ++digits > MAX_DIGITS) {
            throw malformed();
        }
        size = size << RADIX_BITS | digit;
    }

    private static BadMessageException malformed() {
        return new BadMessageException(400, "a chunk's size is malformed");
    }

    /** Returns the size in bytes and prepares the parser for the next line. */
    long takeSize() {
        long taken = size;
        size = 0;
        digits = 0;
        isAfterSize = false;
        isInExtension = false;
        return taken;
    }
}
