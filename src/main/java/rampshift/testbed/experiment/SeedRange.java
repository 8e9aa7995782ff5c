package rampshift.testbed.experiment;

import rampshift.settings.ConfigurationException;

/**
 * A range of consecutive seeds.
 *
 * @param first the first seed
 * @param last the last seed, inclusive
 */
record SeedRange(long first, long last) {
    /**
     * Parses the argument of {@code --seeds}: the number of seeds from 1, or the first and the last as 5-9.
     *
     * @throws ConfigurationException if the text is neither
     */
    static SeedRange parse(String text) {
        if (!text.matches("\\d{1,6}(-\\d{1,6})?")) {
            throw new ConfigurationException(
                    "--seeds is \"" + text + "\", expected a number, or the first and the last as 5-9");
        }
        int separator = text.indexOf('-');
        long first = separator < 0 ? 1 : Long.parseLong(text.substring(0, separator));
        return new SeedRange(first, Long.parseLong(text.substring(separator + 1)));
    }

    /** Returns the number of seeds in the range. */
    long count() {
        return last - first + 1;
    }
}
