package rampshift.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationTest {
    private static final String GOOD =
            "{\"name\":\"n1\",\"listen\":\"127.0.0.1:80\",\"discovery\":\"127.0.0.2:85\",\"seed\":\"8c1f30d27a5be964\","
                    + "\"limits\":{\"memory_mb\":100,\"sockets\":200,\"odd\":[1]},\"settings\":{\"TrafficTypes\":[{\"DueTimeMs\":100,\"ExpiryMs\":5000}],\"Limits\":{\"MostAssignments\":4}},\"more\":{}}";
    @TempDir
    private Path folder;

    private Configuration read(String text) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return Configuration.read(Map.of("NODE_CONFIG", file.toString()));
    }

    @Test
    void aGoodOneIsReadWhole() throws Exception {
        Configuration c = read(GOOD);
        assertEquals("n1", c.name);
        assertEquals(85, c.discovery.getPort());
        assertEquals(0x8c1f30d27a5be964L, c.seed);
        assertEquals(200, c.sockets);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
            "{\"name\":\"n1\",            | [                           | no JSON array",
            "127.0.0.1:80              | 127.0.0.1                   | listen is not an address",
            "127.0.0.1:80              | 127.0.0.256:80              | listen is not an address",
            "127.0.0.1:80              | localhost:80                | listen is not an address",
            "127.0.0.1:80              | 127.0.0.1:70000             | listen is not an address",
            "\"discovery\"               | \"elsewhere\"                 | discovery is missing",
            "8c1f30d27a5be964          | seed                        | seed is not",
            "\"memory_mb\":100           | \"memory_mb\":-1              | limits.memory_mb is not",
            "\"sockets\":200             | \"sockets\":10                | limits.sockets",
            "\"settings\":{              | \"unset\":{                   | settings is missing",
            "\"TrafficTypes\":[{         | \"TrafficTypes\":{            | ''",
            "\"TrafficTypes\"            | \"Types\"                     | the settings lack TrafficTypes",
            "\"TrafficTypes\"            | \"LoadInfo\":{\"How\":\"some\"},\"TrafficTypes\" | setting LoadInfo.How is some, not inline",
            "\"TrafficTypes\"            | \"LoadInfo\":{\"How\":7},\"TrafficTypes\" | setting LoadInfo.How is 7.0, not inline",
            "\"TrafficTypes\"            | \"LoadInfo\":[],\"TrafficTypes\" | setting LoadInfo is not an object",
            "\"TrafficTypes\"            | \"Rules\":{\"ExtraFloor\":2},\"TrafficTypes\" | setting Rules.RatioSpanMs is missing, expected 1.0",
            "\"TrafficTypes\"            | \"Rules\":{\"ExtraFloor\":-2,\"RatioSpanMs\":9},\"TrafficTypes\" | setting Rules.ExtraFloor is -2.0, expected 0.0",
            "\"TrafficTypes\"            | \"Rules\":{\"RepeatRatio\":\"a\"},\"TrafficTypes\" | setting RepeatRatio is not a number",
            "\"TrafficTypes\"            | \"Rules\":{\"RepeatRatio\":0.1,\"RatioSpanMs\":0},\"TrafficTypes\" | setting Rules.RatioSpanMs is 0.0, expected 1.0",
            "\"TrafficTypes\"            | \"Rules\":{\"OnlyDrainingBinds\":1},\"TrafficTypes\" | setting Rules.OnlyDrainingBinds is 1.0, expected true",
            "\"TrafficTypes\"            | \"Goal\":{\"KeptPromises\":-1},\"TrafficTypes\" | setting Goal.KeptPromises is -1.0, expected 0.0",
            "\"TrafficTypes\"            | \"Goal\":{\"KeptPromises\":1,\"BorneMisses\":-1},\"TrafficTypes\" | setting Goal.BorneMisses is -1.0, expected 0.0",
            "\"TrafficTypes\"            | \"Zone\":2,\"Zones\":[\"a\",\"b\"],\"TrafficTypes\" | setting Zone is 2, and Zones has 2",
            "\"TrafficTypes\"            | \"Zone\":-1,\"TrafficTypes\" | setting Zone is -1",
            "\"TrafficTypes\"            | \"Zone\":\"a\",\"TrafficTypes\" | setting Zone is not a number",
            "\"DueTimeMs\"             | \"RunsIn\":[],\"DueTimeMs\" | setting TrafficTypes.RunsIn is empty",
            "\"DueTimeMs\"             | \"AllowedOn\":3,\"DueTimeMs\" | setting AllowedOn is not an array",
            "\"DueTimeMs\"             | \"AllowedOn\":[0.5],\"DueTimeMs\" | setting TrafficTypes.AllowedOn holds 0.5, expected places from 0",
            "\"DueTimeMs\"             | \"RunsIn\":[\"a\"],\"DueTimeMs\" | setting TrafficTypes.RunsIn holds a, expected",
            "\"DueTimeMs\"             | \"RunsIn\":[-1],\"DueTimeMs\" | setting TrafficTypes.RunsIn holds -1.0, expected",
            "\"TrafficTypes\":[{         | \"Zones\":[\"a\"],\"TrafficTypes\":[{\"RunsIn\":[1], | setting TrafficTypes.RunsIn holds 1.0, expected places from 0 to 0",
            "\"TrafficTypes\":[{         | \"Kinds\":[\"a\",\"b\"],\"FamilyInfo\":{\"ClassKind\":[1]},\"TrafficTypes\":[{\"AllowedOn\":[0], | AllowedOn lacks the kind 1",
    })
    void aBadOneIsNamedInOneLine(String part, String instead, String named) {
        InvalidInputException e =
                assertThrows(InvalidInputException.class, () -> read(GOOD.replace(part, instead)));
        assertFalse(e.getMessage().contains("\n"), e.getMessage());
        assertTrue(named.startsWith("no JSON") || e.getMessage().contains(named), e.getMessage());
    }

    @Test
    void aTypeMayGoAnywhereButWhereItIsStatedOtherwise() throws Exception {
        String types =
                "\"TrafficTypes\":[{\"DueTimeMs\":100,\"ExpiryMs\":5000},{\"RunsIn\":[1],\"DueTimeMs\":100,\"ExpiryMs\":5000},"
                        + "{\"AllowedOn\":[0,2],\"RunsIn\":[0,1],";
        var read = read(GOOD.replace("\"TrafficTypes\":[{", types)).settings.read(1).types;
        assertEquals(List.of("null null", "[1] null", "[0, 1] [0, 2]"),
                read.stream().map(t -> t.zones() + " " + t.kinds()).toList());
    }

    @Test
    void theFurtherRulesAndTheTailAreReadWhereTheyAreStated() throws Exception {
        Configuration c = read(GOOD.replace("\"TrafficTypes\"",
                "\"Rules\":{\"ExtraFloor\":2,\"RepeatRatio\":0.1,"
                        + "\"RatioSpanMs\":5000,\"OnlyDrainingBinds\":true},\"Goal\":{\"Whole\":0.6,\"KeptPromises\":0.2,"
                        + "\"BorneMisses\":0.02},\"TrafficTypes\""));
        var s = c.settings.read(c.seed);
        assertEquals(2, s.budgetFloor);
        assertEquals(0.1, s.budgetShare);
        assertEquals(5000, s.budgetSpan.millis());
        assertTrue(s.onlyDrainingBinds);
        assertEquals(0.25, s.tailWeight, 1e-9);
        assertEquals(0.02, s.tailBorne);
        var plain = read(GOOD).settings.read(0);
        assertEquals(0, plain.budgetSpan.micros() + plain.tailWeight);
        assertFalse(plain.onlyDrainingBinds);
    }

    @ParameterizedTest
    @CsvSource({"{},true", "{\"How\":\"inline\"},true", "{\"How\":\"on_probe\"},true",
            "{\"How\":\"off\"},false"})
    void workersReportTheirLoadUnlessItIsSaidThatTheyDoNot(String load, boolean reports) throws Exception {
        Configuration c =
                read(GOOD.replace("\"TrafficTypes\"", "\"LoadInfo\":" + load + ",\"TrafficTypes\""));
        assertEquals(reports, c.settings.read(c.seed).reportsLoad);
    }

    @Test
    void aMissingFileIsNamed() {
        assertEquals("NODE_CONFIG is not set",
                assertThrows(InvalidInputException.class, () -> Configuration.read(Map.of())).getMessage());
        assertTrue(assertThrows(InvalidInputException.class,
                () -> Configuration.read(Map.of("NODE_CONFIG", "/no/such/file")))
                .getMessage().startsWith("/no/such/file: cannot be read"));
    }

    /**
     * Read at SIGHUP while somebody writes it, or typed wrong: whatever stands there, one line, and no fault
     * of another kind.
     */
    @Test
    void whateverBytesStandThereItIsReadOrTurnedDownInOneLine() {
        byte[] good = GOOD.getBytes(StandardCharsets.UTF_8);
        SplittableRandom random = new SplittableRandom(40);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = Arrays.copyOf(good, i < good.length ? i : good.length);
            for (int n = random.nextInt(3); n >= 0 && bytes.length > 0; n--) {
                int at = random.nextInt(bytes.length);
                byte[] from =
                        random.nextBoolean() ? good : "[]{}\",:-0.1e9ntf\\ ".getBytes(StandardCharsets.UTF_8);
                bytes[at] = from[random.nextInt(from.length)];
            }
            try {
                Configuration.read(bytes);
            } catch (InvalidInputException e) {
                assertFalse(e.getMessage().contains("\n"), e.getMessage());
            } catch (IOException e) {
                // No JSON: the line is made where the file is named.
            }
        }
    }
}
