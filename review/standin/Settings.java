/** The settings of a small deployment: two zones, one kind of machine, the figures of the first site's page. */
final class Settings {
    private Settings() {}

    static String type(String name, String effect, String scope, int dueMs, double stretch, int expiryMs) {
        return "{\"Name\":\"" + name + "\",\"Effect\":\"" + effect + "\",\"DedupScope\":\"" + scope
                + "\",\"DueTimeMs\":" + dueMs + ",\"AimStretch\":" + stretch + ",\"ExpiryMs\":" + expiryMs
                + ",\"Earnings\":2.0,\"TardyEarnings\":0.0,\"WindowMs\":7500.0,\"Stream\":false}";
    }

    static String of(int me, int dispatchers, String... types) {
        return "{\"Zones\":[\"a\",\"b\"],\"Kinds\":[\"m1\"],\"Zone\":0,\"Me\":" + me + ",\"PeersTotal\":" + dispatchers
                + ",\"GranularityMs\":2.0,\"WeightSource\":\"nominal\",\"Discovery\":\"pushed\","
                + "\"Costs\":{\"CrossZone\":0.2,\"Waste\":0.013,\"Probe\":0.004},"
                + "\"FamilyInfo\":{\"TellsStart\":true,\"ProgressMs\":0,\"ReportX0\":\"free slots\"},"
                + "\"LoadInfo\":{\"How\":\"inline\",\"Names\":[\"x0\",\"queue\"]},"
                + "\"Limits\":{\"Cancel\":true,\"SecondCopies\":true,\"RetryAfter\":true,"
                + "\"MaxRetryAfterMs\":2000.0,\"MayProbe\":false,\"MostAssignments\":5,"
                + "\"DialTimeoutMs\":100.0,\"ConnIdleMs\":60000.0},"
                + "\"Rules\":{\"ColdFrom\":0.12,\"ColdMs\":24000.0,\"TipMultiple\":4.0,\"FallMs\":1500.0,"
                + "\"StopSendingWithinMs\":250.0},\"TrafficTypes\":[" + String.join(",", types) + "]}";
    }
}
