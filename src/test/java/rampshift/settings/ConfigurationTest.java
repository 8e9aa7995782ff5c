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
    private static final String VALID = """
            {"name":"n1","listen":"127.0.0.1:80","discovery":"127.0.0.2:85","seed":"8c1f30d27a5be964",\
            "limits":{"memory_mb":100,"sockets":200,"odd":[1]},\
            "settings":{"TrafficTypes":[{"DueTimeMs":100,"ExpiryMs":5000}],"Limits":{"MostAssignments":4}},\
            "more":{}}""";
    private static final String TRAFFIC_TYPES = "\"TrafficTypes\"";
    private static final String ANY_JSON_TEXT = "[]{}\",:-0.1e9ntf\\ ";
    private static final int RANDOM_INPUTS = 20_000;
    @TempDir
    private Path folder;

    private Configuration read(String text) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return Configuration.read(Map.of("NODE_CONFIG", file.toString()));
    }

    @Test
    void readsAllFieldsOfAValidConfiguration() throws Exception {
        Configuration configuration = read(VALID);
        assertEquals("n1", configuration.name());
        assertEquals(80, configuration.listen().getPort());
        assertEquals(85, configuration.discovery().getPort());
        assertEquals(0x8c1f30d27a5be964L, configuration.seed());
        assertEquals(100, configuration.memoryMb());
        assertEquals(200, configuration.sockets());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            {"name":"n1", | [ | no JSON array
            127.0.0.1:80 | 127.0.0.1 | listen is not an address
            127.0.0.1:80 | 127.0.0.256:80 | listen is not an address
            127.0.0.1:80 | localhost:80 | listen is not an address
            127.0.0.1:80 | 127.0.0.1:70000 | listen is not an address
            "discovery" | "elsewhere" | discovery is missing
            8c1f30d27a5be964 | seed | seed is not
            "memory_mb":100 | "memory_mb":-1 | limits.memory_mb is not
            "sockets":200 | "sockets":10 | limits.sockets
            "settings":{ | "unset":{ | settings is missing
            "TrafficTypes":[{ | "TrafficTypes":{ | ''
            "TrafficTypes" | "Types" | the settings lack TrafficTypes
            "TrafficTypes" | "LoadInfo":{"How":"some"},"TrafficTypes" \
            | setting LoadInfo.How is some, not inline
            "TrafficTypes" | "LoadInfo":{"How":7},"TrafficTypes" | setting LoadInfo.How is 7.0, not inline
            "TrafficTypes" | "LoadInfo":[],"TrafficTypes" | setting LoadInfo is not an object
            "TrafficTypes" | "Rules":{"ExtraFloor":2},"TrafficTypes" \
            | setting Rules.RatioSpanMs is missing, expected 1.0
            "TrafficTypes" | "Rules":{"ExtraFloor":-2,"RatioSpanMs":9},"TrafficTypes" \
            | setting Rules.ExtraFloor is -2.0, expected 0.0
            "TrafficTypes" | "Rules":{"RepeatRatio":"a"},"TrafficTypes" | setting RepeatRatio is not a number
            "TrafficTypes" | "Rules":{"RepeatRatio":0.1,"RatioSpanMs":0},"TrafficTypes" \
            | setting Rules.RatioSpanMs is 0.0, expected 1.0
            "TrafficTypes" | "Rules":{"OnlyDrainingBinds":1},"TrafficTypes" \
            | setting Rules.OnlyDrainingBinds is 1.0, expected true
            "TrafficTypes" | "Goal":{"KeptPromises":-1},"TrafficTypes" \
            | setting Goal.KeptPromises is -1.0, expected 0.0
            "TrafficTypes" | "Goal":{"KeptPromises":1,"BorneMisses":-1},"TrafficTypes" \
            | setting Goal.BorneMisses is -1.0, expected 0.0
            "TrafficTypes" | "Zone":2,"Zones":["a","b"],"TrafficTypes" \
            | setting Zone is 2, but the size of Zones is 2
            "TrafficTypes" | "Zone":-1,"TrafficTypes" | setting Zone is -1
            "TrafficTypes" | "Zone":"a","TrafficTypes" | setting Zone is not a number
            "DueTimeMs" | "RunsIn":[],"DueTimeMs" | setting TrafficTypes.RunsIn is empty
            "DueTimeMs" | "AllowedOn":3,"DueTimeMs" | setting AllowedOn is not an array
            "DueTimeMs" | "AllowedOn":[0.5],"DueTimeMs" \
            | setting TrafficTypes.AllowedOn holds 0.5, expected indexes from 0
            "DueTimeMs" | "RunsIn":["a"],"DueTimeMs" | setting TrafficTypes.RunsIn holds a, expected
            "DueTimeMs" | "RunsIn":[-1],"DueTimeMs" | setting TrafficTypes.RunsIn holds -1.0, expected
            "TrafficTypes":[{ | "Zones":["a"],"TrafficTypes":[{"RunsIn":[1], \
            | setting TrafficTypes.RunsIn holds 1.0, expected indexes from 0 to 0
            "TrafficTypes":[{ \
            | "Kinds":["a","b"],"FamilyInfo":{"ClassKind":[1]},"TrafficTypes":[{"AllowedOn":[0], \
            | AllowedOn lacks the kind 1
            """)
    void reportsAnInvalidConfigurationInOneLine(String part, String replacement, String expected) {
        ConfigurationException thrown =
                assertThrows(ConfigurationException.class, () -> read(VALID.replace(part, replacement)));
        assertFalse(thrown.getMessage().contains("\n"), thrown.getMessage());
        assertTrue(expected.startsWith("no JSON") || thrown.getMessage().contains(expected),
                thrown.getMessage());
        assertEquals(folder.resolve("config.json").toString(), thrown.faults().get(0).position().file());
    }

    @Test
    void namesTheKeyAtFault() {
        ConfigurationException thrown = assertThrows(ConfigurationException.class,
                () -> read(VALID.replace("\"MostAssignments\":4", "\"MostAssignments\":null")));
        ConfigurationFault fault = thrown.faults().get(0);
        assertEquals("Limits.MostAssignments", fault.key());
        assertEquals("the settings lack Limits.MostAssignments", fault.description());
        assertEquals(fault.position() + ": " + fault.description(), thrown.getMessage());
    }

    @Test
    void restrictsTrafficTypesToStatedZonesAndKindsOnly() throws Exception {
        String rows = """
                "TrafficTypes":[{"DueTimeMs":100,"ExpiryMs":5000},\
                {"RunsIn":[1],"DueTimeMs":100,"ExpiryMs":5000},\
                {"AllowedOn":[0,2],"RunsIn":[0,1],""";
        var types = read(VALID.replace("\"TrafficTypes\":[{", rows)).settings().read(1).types;
        assertEquals(List.of("null null", "[1] null", "[0, 1] [0, 2]"),
                types.stream().map(type -> type.allowedZones() + " " + type.allowedKinds()).toList());
    }

    @Test
    void readsRetryBudgetDrainRuleAndTailGoal() throws Exception {
        String more = """
                "Rules":{"ExtraFloor":2,"RepeatRatio":0.1,"RatioSpanMs":5000,"OnlyDrainingBinds":true},\
                "Goal":{"Whole":0.6,"KeptPromises":0.2,"BorneMisses":0.02},""";
        var settings = read(VALID.replace(TRAFFIC_TYPES, more + TRAFFIC_TYPES)).settings().read(1);
        assertEquals(2, settings.retryBudgetMinimum);
        assertEquals(0.1, settings.retryBudgetRatio);
        assertEquals(5000, settings.retryBudgetWindow.millis());
        assertTrue(settings.removalIsAdvisory);
        assertEquals(0.25, settings.lateShareWeight, 1e-9);
        assertEquals(0.02, settings.toleratedLateShare);
        var plain = read(VALID).settings().read(0);
        assertEquals(0, plain.retryBudgetWindow.micros() + plain.lateShareWeight);
        assertFalse(plain.removalIsAdvisory);
    }

    @ParameterizedTest
    @CsvSource({"{},true", "{\"How\":\"inline\"},true", "{\"How\":\"on_probe\"},true",
            "{\"How\":\"off\"},false"})
    void workersReportLoadUnlessReportsAreOff(String load, boolean reports) throws Exception {
        Configuration configuration =
                read(VALID.replace(TRAFFIC_TYPES, "\"LoadInfo\":" + load + "," + TRAFFIC_TYPES));
        assertEquals(reports, configuration.settings().read(configuration.seed()).reportsLoad);
    }

    @Test
    void namesAMissingFile() {
        assertEquals("NODE_CONFIG is not set",
                assertThrows(ConfigurationException.class, () -> Configuration.read(Map.of())).getMessage());
        assertTrue(assertThrows(ConfigurationException.class,
                () -> Configuration.read(Map.of("NODE_CONFIG", "/no/such/file"))).getMessage()
                .startsWith("/no/such/file: cannot be read"));
    }

    /** The file may be read on SIGHUP while it is being written. */
    @Test
    void readsOrRejectsAnyBytesWithAMessageOfOneLine() {
        byte[] valid = VALID.getBytes(StandardCharsets.UTF_8);
        SplittableRandom random = new SplittableRandom(40);
        for (int length = 0; length < RANDOM_INPUTS; length++) {
            byte[] bytes = Arrays.copyOf(valid, Math.min(length, valid.length));
            replaceBytes(bytes, random);
            try {
                Configuration.read(bytes);
            } catch (ConfigurationException e) {
                assertFalse(e.getMessage().contains("\n"), e.getMessage());
            } catch (IOException e) {
                // Invalid JSON; the caller that knows the file creates the message of one line.
            }
        }
    }

    /** Replaces up to three bytes by others that occur in JSON. */
    private static void replaceBytes(byte[] bytes, SplittableRandom random) {
        byte[] valid = VALID.getBytes(StandardCharsets.UTF_8);
        byte[] text = ANY_JSON_TEXT.getBytes(StandardCharsets.UTF_8);
        for (int n = random.nextInt(3); n >= 0 && bytes.length > 0; n--) {
            int at = random.nextInt(bytes.length);
            byte[] from = random.nextBoolean() ? valid : text;
            bytes[at] = from[random.nextInt(from.length)];
        }
    }
}
