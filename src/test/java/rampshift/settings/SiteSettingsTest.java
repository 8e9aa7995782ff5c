package rampshift.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import rampshift.policy.Settings;
import rampshift.policy.TrafficType;

/**
 * Tests that the program contains no names of the sites under deploy/sites, and reads the settings of each
 * correctly.
 */
class SiteSettingsTest {
    private static final JsonMapper JSON = new JsonMapper();

    private static List<JsonNode> sites() throws IOException {
        List<JsonNode> sites = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("deploy/sites"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".toml")).sorted().toList()) {
                sites.add(new TomlMapper().readTree(Files.readString(file)));
            }
        }
        assertTrue(sites.size() >= 2, "at least two sites");
        return sites;
    }

    private static void names(JsonNode rows, Set<String> to) {
        rows.forEach(row -> to.add(row.isTextual() ? row.asText() : row.get("name").asText()));
    }

    @Test
    void noSiteNameOccursInProgramOrDeployment() throws IOException {
        Set<String> names = new TreeSet<>();
        for (JsonNode site : sites()) {
            names.add(site.get("name").asText());
            names(site.path("class"), names);
            names(site.path("tenant"), names);
            names(site.path("net").path("zones"), names);
            for (JsonNode tier : site.path("tier")) {
                names.add(tier.get("name").asText());
                names(tier.path("kind"), names);
            }
        }
        assertTrue(names.contains("license-sale") && names.contains("north-desk") && names.contains("room-a"),
                names.toString());
        Pattern quoted = Pattern.compile("[\"'](" + String.join("|", names) + ")[\"']");
        List<Path> files =
                new ArrayList<>(List.of(Path.of("deploy/balancer.toml"), Path.of("deploy/serve.sh")));
        try (Stream<Path> main = Files.walk(Path.of("src/main"))) {
            main.filter(Files::isRegularFile).forEach(files::add);
        }
        for (Path file : files) {
            assertFalse(quoted.matcher(Files.readString(file)).find(), file + " contains a site name");
        }
    }

    /** Sites differ in the meaning of rows and numbers, so each is read with its own settings. */
    @Test
    void readsTheSettingsOfEachSite() throws IOException {
        for (JsonNode site : sites()) {
            ObjectNode root = JSON.createObjectNode().put("listen", "127.0.0.1:1")
                    .put("discovery", "127.0.0.1:1");
            root.set("settings", settingsOf(site));
            SettingsReader reader = Configuration.read(JSON.writeValueAsBytes(root)).settings();
            Settings settings = reader.read(1);
            assertRules(site, settings);
            assertTrafficTypes(site, settings, reader.hostSettings());
            List<String> tenants = new ArrayList<>();
            site.path("tenant").forEach(tenant -> tenants.add(tenant.get("name").asText()));
            assertEquals(tenants, reader.hostSettings().tenants());
            assertEquals(tenants.size(), settings.tenantQuotas.size());
        }
    }

    /** Returns the settings of the site's file in the format of a configuration. */
    private static ObjectNode settingsOf(JsonNode site) {
        ObjectNode settings = JSON.createObjectNode();
        settings.set("Zones", site.path("net").path("zones"));
        settings.putObject("Limits").put("MostAssignments", site.path("allow").path("max_attempts").asInt())
                .put("SecondCopies", site.path("allow").path("second_copies").asBoolean());
        settings.putObject("Rules").put("StopSendingWithinMs",
                site.path("rules").path("drain_grace_ms").asDouble());
        ArrayNode types = settings.putArray("TrafficTypes");
        site.path("class").forEach(row -> addTrafficType(types, row));
        ArrayNode tenants = settings.putArray("Tenants");
        for (JsonNode tenant : site.path("tenant")) {
            tenants.addObject().put("Name", tenant.get("name").asText()).put("QuotaPerS",
                    10 * tenant.get("share").asDouble());
        }
        return settings;
    }

    private static void addTrafficType(ArrayNode types, JsonNode row) {
        ObjectNode type = types.addObject().put("Name", row.get("name").asText())
                .put("DueTimeMs", row.get("aim_ms").asDouble())
                .put("ExpiryMs", row.get("deadline_ms").asDouble())
                .put("Earnings", row.get("worth").asDouble()).put("Effect", row.get("effect").asText())
                .put("WindowMs", row.path("window_ms").asDouble());
        if (row.has("group")) {
            type.put("DedupScope", row.get("group").asText());
        }
    }

    private static void assertRules(JsonNode site, Settings settings) {
        assertEquals(site.path("allow").path("max_attempts").asInt(), settings.maxAttempts);
        assertEquals(site.path("allow").path("second_copies").asBoolean(), settings.mayHedge);
        assertEquals(site.path("rules").path("drain_grace_ms").asDouble(), settings.drainGrace.millis());
    }

    private static void assertTrafficTypes(JsonNode site, Settings settings, HostSettings hostSettings) {
        assertEquals(site.path("class").size(), settings.types.size());
        for (int i = 0; i < settings.types.size(); i++) {
            JsonNode row = site.path("class").get(i);
            TrafficType type = settings.types.get(i);
            assertEquals(row.get("name").asText(), hostSettings.types().get(i));
            assertEquals(row.get("deadline_ms").asDouble(), type.timeout().millis());
            assertEquals(row.get("worth").asDouble(), type.priorityWeight());
            assertEquals(effect(row.get("effect").asText()), type.effect());
            if (row.has("group")) {
                assertEquals(row.get("group").asText().toUpperCase(Locale.ROOT),
                        type.deduplicationScope().name());
                assertEquals(row.get("window_ms").asDouble(), type.deduplicationWindow().millis());
            }
        }
    }

    private static TrafficType.Effect effect(String word) {
        return switch (word) {
            case "safe" -> TrafficType.Effect.IDEMPOTENT;
            case "keyed" -> TrafficType.Effect.KEYED;
            default -> TrafficType.Effect.NON_IDEMPOTENT;
        };
    }
}
