package org.cassiabank.once;

/**
 * The limits of a {@link ClaimTable}.
 *
 * @param mostRecords the number of records above which no new claim is granted
 * @param mostAnswerBytes the bytes of all recorded answers together
 * @param mostBytesPerAnswer the bytes of one recorded answer
 * @param retentionMillis how long a record is kept after its last change, in milliseconds
 * @param claimMillis the longest time in milliseconds from the first claim message of an entry to its verdict; votes
 *     that take longer must be discarded by the entry
 * @param runMillis the time in milliseconds after which a claim that was not concluded counts as unknown, because no
 *     request runs that long
 */
public record ClaimSettings(
        int mostRecords,
        long mostAnswerBytes,
        int mostBytesPerAnswer,
        long retentionMillis,
        long claimMillis,
        long runMillis) {

    /**
     * Checks that every limit is positive.
     */
    public ClaimSettings {
        if (mostRecords < 1
                || mostAnswerBytes < 1
                || mostBytesPerAnswer < 1
                || retentionMillis < 1
                || claimMillis < 1
                || runMillis < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /**
     * Returns the settings for the design's scale: 58 claims/s for 10 minutes are 35,000 records.
     *
     * @return 100,000 records, 64 MiB of answers of at most 64 KiB, 10 minutes, claims within 1 s, runs within 60 s
     */
    public static ClaimSettings defaults() {
        return new ClaimSettings(100_000, 64L << 20, 64 << 10, 600_000, 1_000, 60_000);
    }
}
