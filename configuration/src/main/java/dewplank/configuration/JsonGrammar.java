package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Checks that bytes are exactly one JSON value by RFC 8259. The parser that runs after this check is lenient: it skips
 * the rest of a literal without comparing it ("txyz" is read as true) and ignores bytes after the end of the value.
 * This check rejects such texts before they reach the parser. Used for one call only; the depth is limited, so that no
 * text overflows the stack.
 */
final class JsonGrammar {
    private static final int END = -1;
    private static final int HEX_DIGITS = 4;
    private static final int HEX_RADIX = 16;
    private static final byte[] TRUE = {'t', 'r', 'u', 'e'};
    private static final byte[] FALSE = {'f', 'a', 'l', 's', 'e'};
    private static final byte[] NULL = {'n', 'u', 'l', 'l'};

    private final byte[] text;
    private int position;
    private int depth;
    private boolean hasNonAscii;

    private JsonGrammar(byte[] text) {
        this.text = text;
    }

    /** Throws unless the text is exactly one JSON value in UTF-8. */
    static void check(byte[] text) throws InvalidConfigurationException {
        JsonGrammar grammar = new JsonGrammar(text);
        grammar.skipSpace();
        grammar.checkValue();
        grammar.skipSpace();
        if (grammar.peek() != END) {
            throw grammar.malformed("bytes after the value");
        }
        if (grammar.hasNonAscii) {
            checkUtf8(text);
        }
    }

    private static void checkUtf8(byte[] text) throws InvalidConfigurationException {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text));
        } catch (CharacterCodingException notUtf8) {
            throw new InvalidConfigurationException(Reason.UNREADABLE, "", "not UTF-8");
        }
    }

    private void checkValue() throws InvalidConfigurationException {
        switch (peek()) {
            case '{' -> checkObject();
            case '[' -> checkArray();
            case '"' -> checkString();
            case 't' -> checkLiteral(TRUE);
            case 'f' -> checkLiteral(FALSE);
            case 'n' -> checkLiteral(NULL);
            default -> checkNumber();
        }
    }

    private void checkObject() throws InvalidConfigurationException {
        enterNesting();
        if (peek() != '}') {
            checkMember();
            while (peek() == ',') {
                position++;
                skipSpace();
                checkMember();
            }
        }
        leaveNesting('}');
    }

    private void checkMember() throws InvalidConfigurationException {
        checkString();
        skipSpace();
        expect(':');
        skipSpace();
        checkValue();
        skipSpace();
    }

    private void checkArray() throws InvalidConfigurationException {
        enterNesting();
        if (peek() != ']') {
            checkElement();
            while (peek() == ',') {
                position++;
                skipSpace();
                checkElement();
            }
        }
        leaveNesting(']');
    }

    private void checkElement() throws InvalidConfigurationException {
        checkValue();
        skipSpace();
    }

    private void enterNesting() throws InvalidConfigurationException {
        position++;
        depth++;
        if (depth > InvalidConfigurationException.MAX_DEPTH) {
            throw new InvalidConfigurationException(
                    Reason.TOO_DEEP, "", "nested deeper than " + InvalidConfigurationException.MAX_DEPTH);
        }
        skipSpace();
    }

    private void leaveNesting(int closing) throws InvalidConfigurationException {
        expect(closing);
        depth--;
    }

    private void checkString() throws InvalidConfigurationException {
        expect('"');
        while (true) {
            int next = peek();
            if (next == '"') {
                position++;
                return;
            }
            if (next == '\\') {
                checkEscape();
            } else if (next < ' ' && next >= END) {
                throw malformed(next == END ? "cut short within a string" : "a control character within a string");
            } else {
                hasNonAscii |= next >= 0x80;
                position++;
            }
        }
    }

    private void checkEscape() throws InvalidConfigurationException {
        position++;
        int kind = peek();
        position++;
        if (kind == 'u') {
            checkUnicodeEscape();
        } else if (kind == END || "\"\\/bfnrt".indexOf(kind) < 0) {
            throw malformed("an unknown escape");
        }
    }

    /** Checks an escaped UTF-16 code unit; half a surrogate pair is not a character and can't be written as UTF-8. */
    private void checkUnicodeEscape() throws InvalidConfigurationException {
        char first = readHexDigits();
        if (Character.isHighSurrogate(first)) {
            expect('\\');
            expect('u');
            if (!Character.isLowSurrogate(readHexDigits())) {
                throw malformed("half a surrogate pair");
            }
        } else if (Character.isLowSurrogate(first)) {
            throw malformed("half a surrogate pair");
        }
    }

    private char readHexDigits() throws InvalidConfigurationException {
        int value = 0;
        for (int index = 0; index < HEX_DIGITS; index++) {
            int digit = Character.digit(peek(), HEX_RADIX);
            if (digit < 0) {
                throw malformed("an escape without four hexadecimal digits");
            }
            value = value * HEX_RADIX + digit;
            position++;
        }
        return (char) value;
    }

    private void checkNumber() throws InvalidConfigurationException {
        if (peek() == '-') {
            position++;
        }
        if (peek() == '0') {
            position++;
        } else {
            checkDigits();
        }
        if (peek() == '.') {
            position++;
            checkDigits();
        }
        if (peek() == 'e' || peek() == 'E') {
            position++;
            if (peek() == '+' || peek() == '-') {
                position++;
            }
            checkDigits();
        }
    }

    private void checkDigits() throws InvalidConfigurationException {
        int start = position;
        while (peek() >= '0' && peek() <= '9') {
            position++;
        }
        if (position == start) {
            throw malformed("no value where one is due");
        }
    }

    private void checkLiteral(byte[] literal) throws InvalidConfigurationException {
        for (byte character : literal) {
            expect(character);
        }
    }

    private void skipSpace() {
        int next = peek();
        while (next == ' ' || next == '\n' || next == '\r' || next == '\t') {
            position++;
            next = peek();
        }
    }

    private void expect(int expected) throws InvalidConfigurationException {
        if (peek() != expected) {
            throw malformed("no '" + (char) expected + "' where one is due");
        }
        position++;
    }

    private int peek() {
        return position < text.length ? text[position] & 0xFF : END;
    }

    private InvalidConfigurationException malformed(String detail) {
        String found = peek() == END ? "cut short, " : "";
        return new InvalidConfigurationException(Reason.UNREADABLE, "", found + detail + ", at byte " + position);
    }
}
