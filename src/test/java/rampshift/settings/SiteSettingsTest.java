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
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import rampshift.policy.Settings;
import rampshift.policy.TrafficType;

/**
 * The sites under deploy/sites: nothing of the program is made for one of them, and the settings of each are
 * read as told.
 */
class SiteSettingsTest {
    private static List<JsonNode> sites() throws IOException {
        List<JsonNode> sites = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("deploy/sites"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".toml")).sorted().toList()) {
                sites.add(new TomlMapper().readTree(Files.readString(file)));
            }
        }
        assertTrue(sites.size() >= 2, "two of them at least");
        return sites;
    }

    private static void names(JsonNode rows, Set<String> to) {
        rows.forEach(row -> to.add(row.isTextual() ? row.asText() : row.get("name").asText()));
    }

    @Test
    void noNameOfASiteStandsInTheProgramOrItsDeployment() throws IOException {
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
            assertFalse(quoted.matcher(Files.readString(file)).find(), file + " names what is one site's");
        }
    }

    /** What swaps its meaning between the two does so here, and each row is its own site's. */
    @Test
    void theSettingsOfEachSiteAreReadAsItTellsThem() throws IOException {
        JsonMapper json = new JsonMapper();
        for (JsonNode site : sites()) {
            ObjectNode told = json.createObjectNode();
            told.set("Zones", site.path("net").path("zones"));
            told.putObject("Limits").put("MostAssignments", site.path("allow").path("max_attempts").asInt())
                    .put("SecondCopies", site.path("allow").path("second_copies").asBoolean());
            told.putObject("Rules").put("StopSendingWithinMs",
                    site.path("rules").path("drain_grace_ms").asDouble());
            ArrayNode types = told.putArray("TrafficTypes");
            for (JsonNode row : site.path("class")) {
                ObjectNode type = types.addObject().put("Name", row.get("name").asText())
                        .put("DueTimeMs", row.get("aim_ms").asDouble())
                        .put("ExpiryMs", row.get("deadline_ms").asDouble())
                        .put("Earnings", row.get("worth").asDouble())
                        .put("Effect", row.get("effect").asText())
                        .put("WindowMs", row.path("window_ms").asDouble());
                if (row.has("group")) {
                    type.put("DedupScope", row.get("group").asText());
                }
            }
            ArrayNode tenants = told.putArray("Tenants");
            site.path("tenant").forEach(t -> tenants.addObject().put("Name", t.get("name").asText())
                    .put("QuotaPerS", 10 * t.get("share").asDouble()));
            SettingsReader reader = Configuration
                    .read(json.writeValueAsBytes(json.createObjectNode().put("listen", "127.0.0.1:1")
                            .put("discovery", "127.0.0.1:1").set("settings", told))).settings;
            Settings settings = reader.read(1);
            assertEquals(site.path("allow").path("max_attempts").asInt(), settings.mostAssignments);
            assertEquals(site.path("allow").path("second_copies").asBoolean(), settings.secondCopies);
            assertEquals(site.path("rules").path("drain_grace_ms").asDouble(), settings.drainGrace.millis());
            assertEquals(site.path("class").size(), settings.types.size());
            for (int i = 0; i < settings.types.size(); i++) {
                JsonNode row = site.path("class").get(i);
                TrafficType type = settings.types.get(i);
                assertEquals(row.get("name").asText(), reader.platform().types().get(i));
                assertEquals(row.get("deadline_ms").asDouble(), type.expiry().millis());
                assertEquals(row.get("worth").asDouble(), type.earnings());
                assertEquals(switch (row.get("effect").asText()) {
                    case "safe" -> TrafficType.Effect.IDEMPOTENT;
                    case "keyed" -> TrafficType.Effect.FINGERPRINTED;
                    default -> TrafficType.Effect.SIDE_EFFECTING;
                }, type.effect());
                if (row.has("group")) {
                    assertEquals(row.get("group").asText().toUpperCase(), type.group().name());
                    assertEquals(row.get("window_ms").asDouble(), type.window().millis());
                }
            }
            List<String> desks = new ArrayList<>();
            site.path("tenant").forEach(t -> desks.add(t.get("name").asText()));
            assertEquals(desks, reader.platform().tenants());
            assertEquals(desks.size(), settings.tenantQuotas.size());
        }
    }
}
