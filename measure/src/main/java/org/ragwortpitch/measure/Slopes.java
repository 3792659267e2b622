package org.ragwortpitch.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Recorded slopes: the measured cost of one more unit of load or state.
 *
 * @param values slopes by name; each name states the unit
 */
record Slopes(Map<String, Double> values) {

    /**
     * Reads slopes from comma-separated values: name, value, and the command that measures the slope.
     *
     * @throws IOException if the file cannot be read
     */
    static Slopes read(Path path) throws IOException {
        Map<String, Double> values = new HashMap<>();
        for (String line : Files.readAllLines(path)) {
            String[] fields = line.split(",", 3);
            if (fields.length == 3 && !fields[0].equals("name")) {
                values.put(fields[0], Double.parseDouble(fields[1]));
            }
        }
        return new Slopes(values);
    }

    /**
     * Returns the slope of a name.
     *
     * @throws IOException if the slope is not recorded
     */
    double get(String name) throws IOException {
        Double value = values.get(name);
        if (value == null) {
            throw new IOException("slope " + name + " is not recorded: measure it and add it to docs/slopes.csv");
        }
        return value;
    }
}
