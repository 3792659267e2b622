package org.ragwortpitch.client;

import java.util.ArrayList;
import java.util.List;

/**
 * A table for people to read.
 */
final class Table {

    /**
     * What stands between two columns.
     */
    private static final String GAP = "  ";

    /**
     * The rows, the head first.
     */
    private final List<List<String>> rows = new ArrayList<>();

    /**
     * Makes a table.
     *
     * @param head the columns' names
     */
    Table(String... head) {
        rows.add(List.of(head));
    }

    /**
     * Adds a row.
     *
     * @param cells the cells, as many as there are columns
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

    /**
     * Tells the width of a column.
     *
     * @param column the column
     * @return the width, in characters
     */
    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
