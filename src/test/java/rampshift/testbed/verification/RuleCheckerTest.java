package rampshift.testbed.verification;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks event logs with each kind of breach, and similar ones without a breach. A log is given as lines that
 * are separated by {@code |}, with times in milliseconds.
 */
class RuleCheckerTest {
    private static final long GRACE_MICROS = 250_000;
    private static final long SLACK_MICROS = 50_000;
    private static final String SALE =
            "0 sent t 0.1 sale side_effecting 0 1000000 0|10 took w 0 t - sale 10000 warm"
                    + "|11 began w t - sale|60 done w t w/t/50|61 answer t 200 w/t/50";
    private static final String MARK =
            "0 sent t 0.1 mark fingerprinted 0 1000000 0|10 took w 0 t k mark 10000 warm"
                    + "|11 began w t k mark";
    private static final String LOOK =
            "0 sent t 0.1 look idempotent 0 1000000 0|10 took w 0 t - look 10000 warm"
                    + "|11 began w t - look";

    private static Verdict check(String log) {
        RuleChecker checker = new RuleChecker(GRACE_MICROS, SLACK_MICROS);
        EventLogs.feed(log, checker);
        return checker.verdict();
    }

    private static long cases(Verdict verdict, String ruleName) {
        return verdict.rules().stream().filter(rule -> rule.name().equals(ruleName)).findFirst()
                .orElseThrow().cases();
    }

    @Test
    void allRulesHoldInLogWithoutBreaches() {
        Verdict verdict = check(SALE + "|0 boot w warm");
        assertTrue(verdict.allRulesHold(), EventLogs.breaches(verdict));
        assertEquals(1, cases(verdict, "one final answer, in time"));
        assertEquals(1, cases(verdict, "results that a worker made"));
        assertEquals(0, cases(verdict, "no effect twice"),
                "a single attempt that completed is no case of the rule");
        assertEquals(0, verdict.repeatedAttempts());
        assertEquals(List.of(1L), List.of(verdict.attemptsPerSecond().get("w")[0]));
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = ';', quoteCharacter = '~', textBlock = """
            two responses; SALE|62 answer t 200 w/t/50; one final answer, in time 1
            bytes after the response; SALE|62 unasked 0 17; one final answer, in time 1
            no response; LOOK|1400 none t; one final answer, in time 1
            connection reset; LOOK|90 broken t reset; one final answer, in time 1
            no outcome logged; LOOK; one final answer, in time 1
            late response; LOOK|1051 answer t 504 -; one final answer, in time 1
            result that no worker produced; LOOK|60 done w t w/t/50|61 answer t 200 w/t/51; \
                results that a worker made 1
            result of another task; LOOK|60 done w u w/u/9|61 answer t 200 w/u/9; \
                one final answer, in time 1, results that a worker made 1
            attempt after the response; LOOK|30 answer t 503 -|90 took v 0 t - look 81000 warm; \
                nothing sent after answer or expiry 1
            attempt after the expiry; LOOK|1052 took v 0 t - look 1052000 warm|1040 answer t 504 -; \
                nothing sent after answer or expiry 1
            suspension does not excuse a late attempt; LOOK|500 stopped 0|1500 continued 0|\
                1520 took v 0 t - look 1520000 warm|1530 answer t 504 -; \
                nothing sent after answer or expiry 1
            late response long after a suspension; LOOK|100 stopped 0|300 continued 0|1100 answer t 504 -; \
                one final answer, in time 1
            connection refused before shutdown; LOOK|50 broken t unreachable|60 ended 0; \
                one final answer, in time 1
            reset, sent before shutdown; 0 sent t 0.1 look idempotent 0 1000000 0|10 ended 0|\
                50 broken t reset|100 started 0; one final answer, in time 1
            reset at shutdown after an attempt; 5 ended 0|LOOK|12 took v 0 t - look 12000 warm|\
                50 broken t reset|\
                100 started 0; one final answer, in time 1
            closed, sent before shutdown; 0 sent t 0.1 look idempotent 0 1000000 0|10 ended 0|\
                50 broken t closed|100 started 0; one final answer, in time 1
            closed without shutdown; LOOK|50 broken t closed; one final answer, in time 1
            closed at shutdown after an attempt; 5 ended 0|LOOK|12 took v 0 t - look 12000 warm|\
                50 broken t closed|\
                100 started 0; one final answer, in time 1
            decreasing fencing token; 10 effect l 2 w t.2.1 t-1 idempotent|\
                11 effect l 1 w u.1.1 t-2 idempotent; \
                effects under a lease in the order of tokens 1
            effect applied twice; 10 effect l 2 w t.2.1 t-1 side_effecting|\
                11 effect l 2 w t.2.2 t-1 side_effecting; a duty's task takes effect once where it must 1
            completed task without effect; 10 leases d1 duty-done t 2 1/7; \
                a duty's task takes effect once where it must 1
            two holders of one token; 10 leases d1 holds l 2 d1|11 leases d2 holds l 2 d2; tokens only rise 1
            two values of one version; 10 leases d1 done l 2 5/1000/d1|11 leases d2 done l 3 5/1000/d2; \
                tokens' registers are one each 1
            older version after a newer one; 10 leases d1 done l 2 5/1000/d1|\
                21 leases d2 done l 2 4/1000/d1; \
                tokens' registers are one each 1
            side effect run twice; SALE|12 took v 0 t - sale 12000 warm|13 began v t - sale; no effect twice 1
            side effect rejected after a run; 0 sent t 0.1 sale side_effecting 0 1000000 0|\
                10 took w 0 t - sale 10000 warm|11 began w t - sale|20 answer t 503 -; no effect twice 1
            rejected after a run, then run again; MARK|20 answer t 503 -|\
                30 sent u 0.1 mark fingerprinted 0 1000000 1|\
                40 took v 0 u k mark 40000 warm|41 began v u k mark|50 answer u 504 -; no effect twice 1
            repeated task in another group; MARK|12 took v 0 t k mark 12000 warm|13 began v t k mark|\
                20 answer t 504 -; no effect twice 1
            attempt after a drain; LOOK|0 told 0 v draining|301 took v 0 u - look 301000 warm|\
                40 answer t 504 -|300 sent u 0.2 look idempotent 0 1000000 0|400 answer u 504 -; \
                drains kept 1
            attempt after removal from the list; LOOK|0 told-whole 0|0 told 0 v ready|0 told-end 0|\
                1 told-whole 0|\
                1 told-end 0|302 took v 0 t - look 302000 warm|400 answer t 504 -; drains kept 1
            cold worker overloaded; SALE|0 boot w cold|70 fell w; no cold worker pushed over 1
            task that no client sent; SALE|20 took w 0 x - look 20000 warm; one final answer, in time 1
            """)
    void breachIsDetected(String name, String log, String expected) {
        Verdict verdict = check(log.replace("SALE", SALE).replace("MARK", MARK).replace("LOOK", LOOK));
        assertEquals(expected, EventLogs.breaches(verdict));
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = ';', quoteCharacter = '~', textBlock = """
            dispatcher killed while it holds the task; LOOK|50 killed 0|51 broken t reset
            suspended at expiry; LOOK|500 stopped 0|1500 continued 0|1700 answer t 504 -
            connection refused during restart; LOOK|10 ended 0|50 broken t unreachable|100 started 0
            reset, sent after shutdown; 0 ended 0|1 sent t 0.1 look idempotent 0 1000000 0|50 broken t reset|\
                100 started 0
            closed, sent after shutdown; 0 ended 0|1 sent t 0.1 look idempotent 0 1000000 0|\
                50 broken t closed|100 started 0
            late within the tolerance; LOOK|1049 answer t 504 -
            rejected before any run; 0 sent t 0.1 sale side_effecting 0 1000000 0|\
                10 took w 0 t - sale 10000 warm|20 away w t|21 answer t 503 -|\
                30 sent u 0.1 sale side_effecting 0 1000000 1|40 took v 0 u - sale 40000 warm|\
                41 began v u - sale|50 answer u 504 -
            suppressed repeated task; MARK|12 took v 0 t k mark 12000 warm|13 dropped v t k mark|\
                20 answer t 504 -
            retry by the client; MARK|20 answer t 504 -|30 sent u 0.1 mark fingerprinted 0 1000000 1|\
                40 took v 0 u k mark 40000 warm|41 began v u k mark|50 answer u 504 -
            repeated attempts of an idempotent task; LOOK|12 took v 0 t - look 12000 warm|\
                13 began v t - look|\
                20 answer t 504 -
            attempt within the grace period; LOOK|0 told 0 v draining|300 took v 0 t - look 300000 warm|\
                400 answer t 504 -
            drained, then ready again; LOOK|0 told 0 v draining|200 told 0 v ready|\
                900 took v 0 t - look 900000 warm|950 answer t 504 -
            drain reported to another dispatcher; LOOK|0 told 1 v draining|900 took v 0 t - look 900000 warm|\
                950 answer t 504 -
            """)
    void allowedBehaviorIsNoBreach(String name, String log) {
        Verdict verdict = check(log.replace("MARK", MARK).replace("LOOK", LOOK));
        assertEquals("", EventLogs.breaches(verdict));
    }

    @Test
    void lastAttemptAfterDrainIsMeasuredOverAllDispatchers() {
        Verdict verdict = check(LOOK + "|5 trouble drain begins v,w|8 took v 0 t - look 8000 warm"
                + "|45 took w 1 t - look 45000 warm|50 answer t 504 -");
        assertEquals(40.0, verdict.lastAttemptAfterDrainMs());
        assertEquals(0.0,
                check(LOOK + "|8 took v 0 t - look 8000 warm|50 answer t 504 -").lastAttemptAfterDrainMs());
    }

    @Test
    void killOfAnotherDispatcherIsNoExcuse() {
        assertEquals("one final answer, in time 1",
                EventLogs.breaches(check(LOOK + "|50 killed 1|51 broken t reset")));
    }

    @Test
    void malformedLineIsInTheMessage() {
        RuleChecker checker = new RuleChecker(0, 0);
        String message = assertThrows(MalformedLineException.class, () -> checker.line("12x sent"))
                .getMessage();
        assertTrue(message.contains("12x sent"), message);
    }
}
