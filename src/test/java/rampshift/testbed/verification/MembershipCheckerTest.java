package rampshift.testbed.verification;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares the member states that dispatchers logged with the injected faults. Failures must be detected
 * within 100 ms, and all views must agree 200 ms after the last fault.
 */
class MembershipCheckerTest {
    private static final long GRACE_MICROS = 250_000;
    private static final long SLACK_MICROS = 50_000;
    private static final long DETECTION_LIMIT_MICROS = 100_000;
    private static final long AGREEMENT_LIMIT_MICROS = 200_000;
    private static final String UP =
            "0 members d1 began d1 1 a|0 members d2 began d2 1 a|0 members d3 began d3 1 a"
                    + "|1 members d1 joined d2 1 x|1 members d1 joined d3 1 x"
                    + "|1 members d2 joined d1 1 x|1 members d2 joined d3 1 x"
                    + "|1 members d3 joined d1 1 x|1 members d3 joined d2 1 x";
    private static final String GONE =
            "|500 killed 2|560 members d1 failed d3 1 by-d2|580 members d2 failed d3 1 by-d2";

    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = ';', quoteCharacter = '~', textBlock = """
            no fault; UP|900 finish; ~~
            detected in time; UP GONE|900 finish; ~~
            detected too late by one; UP|500 killed 2|560 members d1 failed d3 1 by-d1|\
                650 members d2 failed d3 1 by-d1|900 finish; failures known in time 1
            detected by none; UP|500 killed 2|900 finish; failures known in time 2
            link cut excuses missed detection; UP|450 trouble way_cut begins d1=*|500 killed 2|900 finish; ~~
            restarted before the limit; UP|500 killed 2|550 started 2|550 members d3 began d3 2 a|\
                560 members d3 joined d1 1 x|560 members d3 joined d2 1 x|900 finish; ~~
            reported as failed without a fault; UP|500 members d1 failed d2 1 by-d1|\
                510 members d1 joined d2 2 x|\
                900 finish; nobody sound taken for failed 1
            reported shortly after a suspension; UP|300 stopped 1|480 continued 1|\
                500 members d1 failed d2 1 by-d1|\
                510 members d1 joined d2 2 x|900 finish; ~~
            reported long after a suspension; UP|300 stopped 1|380 continued 1|\
                500 members d1 failed d2 1 by-d1|\
                510 members d1 joined d2 2 x|900 finish; nobody sound taken for failed 1
            subject limited in processor time; UP|300 starved 1|500 members d1 failed d2 1 by-d1|\
                510 members d1 joined d2 2 x|550 fed 1|900 finish; ~~
            observer limited in processor time; UP|300 starved 0|500 members d1 failed d2 1 by-d1|\
                510 members d1 joined d2 2 x|550 fed 0|900 finish; nobody sound taken for failed 1
            no agreement after the fault; UP|300 trouble way_cut begins d1>d2|400 trouble way_cut ends d1>d2|\
                420 members d1 failed d2 1 by-d1|900 finish; all agree after the last fault 1
            suspicion remains; UP|300 trouble way_cut begins d1>d2|400 trouble way_cut ends d1>d2|\
                420 members d1 suspected d2 1 by-d1|900 finish; all agree after the last fault 1
            load ends soon after the fault; UP|300 trouble way_cut begins d1>d2|\
                800 trouble way_cut ends d1>d2|\
                420 members d1 failed d2 1 by-d1|900 finish; ~~
            """)
    void memberStatesAreComparedWithFaults(String name, String log, String expected) {
        RuleChecker checker =
                new RuleChecker(GRACE_MICROS, SLACK_MICROS, DETECTION_LIMIT_MICROS, AGREEMENT_LIMIT_MICROS);
        EventLogs.feed(log.replace("UP", UP).replace(" GONE", GONE), checker);
        Verdict verdict = checker.verdict();
        assertEquals(expected, EventLogs.breaches(verdict));
        int detections = verdict.detectionMs().size() - (name.startsWith("detected too") ? 1 : 0);
        assertEquals(name.startsWith("detected in") ? 2 : 0, detections);
    }
}
