package org.ragwortpitch.measure;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against docs/CAPACITY.md and docs/slopes.csv diverging when one is edited without the other.
 */
class CapacityTablesTest {

    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void testPageAgreesWithSlopes() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Arguments arguments = new Arguments(List.of(DOCS.resolve("slopes.csv").toString()));
        new CapacityTables().run(arguments, new PrintStream(bytes, true, StandardCharsets.UTF_8));
        String page = Files.readString(DOCS.resolve("CAPACITY.md"));
        for (String line : bytes.toString(StandardCharsets.UTF_8).split("\n")) {
            assertTrue(page.contains(line), "docs/CAPACITY.md lacks: " + line);
        }
    }
}
