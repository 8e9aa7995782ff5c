package rampshift.testbed.experiment;

import rampshift.settings.ConfigurationException;

/**
 * Consecutive seeds.
 *
 * @param first the first seed
 * @param last the last seed, which is part of the range
 */
record SeedRange(long first, long last) {
    /**
     * Parses the argument of {@code --seeds}: how many seeds, from 1 on, or the first and the last as 5-9.
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

    /** How many seeds these are. */
    long count() {
        return last - first + 1;
    }
}
