/** The case could not run: the deployment did not come up, or the machine was too busy. */
final class CouldNotRun extends RuntimeException {
    private static final long serialVersionUID = 1;

    CouldNotRun(String why) {
        super(why);
    }
}
