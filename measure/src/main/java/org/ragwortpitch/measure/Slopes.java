package org.ragwortpitch.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The recorded slopes, by name.
 *
 * @param values the values, each in the unit that its name tells
 */
record Slopes(Map<String, Double> values) {

    /**
     * Reads slopes: name, value, the command that measures it.
     *
     * @param path the file
     * @return the slopes
     * @throws IOException if it cannot be read
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
     * Tells a slope.
     *
     * @param name its name
     * @return the value
     * @throws IOException if it was not recorded
     */
    double get(String name) throws IOException {
        Double value = values.get(name);
        if (value == null) {
            throw new IOException("no slope " + name + " is recorded: measure it and add it to docs/slopes.csv");
        }
        return value;
    }
}
