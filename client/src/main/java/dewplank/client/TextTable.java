package dewplank.client;

import java.util.ArrayList;
import java.util.List;

/** A text table; each column is as wide as its widest cell. */
final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /** Creates a table with these headings. */
    TextTable(String... headings) {
        row((Object[]) headings);
    }

    /** Adds a row with one cell for each heading; null is an empty cell. */
    TextTable row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(cell == null ? "" : cell.toString());
        }
        rows.add(row);
        return this;
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                line.append(cell)
                        .append(" ".repeat(width(column) - cell.length()))
                        .append(GAP);
            }
            out.append(line.toString().stripTrailing()).append('\n');
        }
        return out.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
