package org.ragwortpitch.client;

import java.util.ArrayList;
import java.util.List;

/**
 * A plain-text table with left-aligned columns, as wide as their widest cell.
 */
final class Table {

    private static final String GAP = "  ";

    /**
     * The rows, with the header first.
     */
    private final List<List<String>> rows = new ArrayList<>();

    /**
     * Creates a table with a header.
     *
     * @param header the names of the columns
     */
    Table(String... header) {
        rows.add(List.of(header));
    }

    /**
     * Appends a row.
     *
     * @param cells one cell per column
     * @return this table
     */
    Table row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
        return this;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                line.append(column == 0 ? "" : GAP).append(row.get(column));
                line.append(" ".repeat(width(column) - row.get(column).length()));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
