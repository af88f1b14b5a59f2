package dewplank.http;

/** The characters of tokens, such as methods and names of fields (RFC 9110, section 5.6.2). */
final class Tokens {
    private static final String DELIMITERS = "\"(),/:;<=>?@[\\]{}";
    private static final boolean[] IS_TOKEN_CHARACTER = new boolean[128];

    static {
        for (char c = '!'; c < 127; c++) {
            IS_TOKEN_CHARACTER[c] = DELIMITERS.indexOf(c) < 0;
        }
    }

    private Tokens() {}

    static boolean isTokenCharacter(int character) {
        return character >= 0 && character < IS_TOKEN_CHARACTER.length && IS_TOKEN_CHARACTER[character];
    }

    /** Whether the text is a token, which is not empty. */
    static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(Tokens::isTokenCharacter);
    }
}
