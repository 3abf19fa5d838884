package org.cassiabank.once;

/**
 * The limits of a {@link ClaimTable}.
 *
 * @param maximumRecords the number of records from which on no claim of a key without a record is granted; records that
 *     other keepers hand over are accepted up to twice this number
 * @param maximumTotalResponseBytes the largest size of all recorded responses together, in bytes
 * @param maximumBytesPerResponse the largest size of one recorded response, in bytes
 * @param retentionMillis how long a record is kept after its last change, in milliseconds
 * @param claimTimeoutMillis the longest time in milliseconds from the first claim message of an entry proxy to its
 *     decision; votes that take longer must be discarded by the entry proxy
 * @param executionTimeoutMillis the time in milliseconds after which a claim that was not concluded counts as unknown,
 *     because no request runs that long
 */
public record ClaimSettings(
        int maximumRecords,
        long maximumTotalResponseBytes,
        int maximumBytesPerResponse,
        long retentionMillis,
        long claimTimeoutMillis,
        long executionTimeoutMillis) {

    /**
     * Creates the settings.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public ClaimSettings {
        if (maximumRecords < 1
                || maximumTotalResponseBytes < 1
                || maximumBytesPerResponse < 1
                || retentionMillis < 1
                || claimTimeoutMillis < 1
                || executionTimeoutMillis < 1) {
            throw new IllegalArgumentException("limits of the claim table must be positive");
        }
    }

    /**
     * Returns the settings for the target scale, where 58 claims/s for 10 minutes are 35,000 records.
     *
     * @return 100,000 records, 64 MiB of responses of at most 64 KiB, 10 minutes, claims within 1 s, runs within 60 s
     */
    public static ClaimSettings defaults() {
        return new ClaimSettings(100_000, 64L << 20, 64 << 10, 600_000, 1_000, 60_000);
    }
}
