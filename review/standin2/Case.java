import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
    /** The body of a case. Returns the breaches of the rule that were seen. */
    interface Body {
        List<String> run(Stage stage, boolean trouble) throws Exception;
    }

    private static final long LONGEST_MILLIS = 112_000;

    private Case() {}

    static void run(String[] arguments, int dispatchers, Body body) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Stage stage = new Stage(dispatchers);
        Threads.start(() -> {
            Thread.sleep(LONGEST_MILLIS);
            System.out.println("could not run: not over after " + LONGEST_MILLIS / 1000 + " s");
            System.exit(2);
        });
        int status = 2;
        List<String> breaches = new ArrayList<>();
        try {
            breaches = body.run(stage, trouble);
            status = breaches.isEmpty() ? 0 : 1;
            String verdict = breaches.isEmpty() ? "held" : "broken, " + breaches.size() + " times seen";
            stage.journal.add("verdict", status == 0 ? "held" : "broken", verdict);
            breaches.forEach(breach -> stage.journal.add("verdict", "breach", breach));
            System.out.println((trouble ? "with" : "without") + " the disruption: the rule " + verdict);
            breaches.stream().limit(5).forEach(breach -> System.out.println("  " + breach));
        } catch (Exception e) {
            stage.journal.add("verdict", "void", e.toString());
            System.out.println("could not run: " + e);
        } finally {
            stage.end();
            stage.journal.write(Path.of(arguments[0], "record.txt"));
        }
        System.exit(status);
    }
}
