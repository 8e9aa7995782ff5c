package rampshift;

import java.io.IOException;
import rampshift.drill.Drill;
import rampshift.serve.Serve;

/** The command line: one subcommand a protocol. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("drill")) {
            System.exit(Drill.run(System.in, System.out, System.err));
        }
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(Serve.run(System.getenv()));
        }
        System.err.println("usage: rampshift drill    play the simulator's wire on standard input and output");
        System.exit(2);
    }
}
