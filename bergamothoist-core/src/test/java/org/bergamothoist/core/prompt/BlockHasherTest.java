package org.bergamothoist.core.prompt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class BlockHasherTest {

    private static final int BLOCK_TOKENS = 4;
    private static final String PROMPT =
            "a prompt of several blocks, some of them shared with others";

    private final BlockHasher hasher = new BlockHasher(BLOCK_TOKENS);

    private BlockHashChain chain(String organisation, String version, String prompt) {
        return hasher.hashChain(
                new OrganisationId(organisation),
                new ModelKey("model", "base", version),
                new Prompt(prompt));
    }

    /** Guards against cache matches between different organisations or weight versions. */
    @ParameterizedTest
    @CsvSource({"one,v1,two,v1", "one,v1,one,v2"})
    void hashesDifferBetweenOrganisationsAndVersions(
            String organisation, String version, String otherOrganisation, String otherVersion) {
        BlockHashChain chain = chain(organisation, version, PROMPT);
        BlockHashChain other = chain(otherOrganisation, otherVersion, PROMPT);
        for (int block = 0; block < chain.length(); block++) {
            assertThat(chain.hash(block)).isNotEqualTo(other.hash(block));
        }
    }

    /** Guards against a match after the first differing block, and a mismatch before it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 15, 16, 17, 31, 47})
    void hashesDifferFromTheChangedBlockOnwards(int position) {
        StringBuilder changed = new StringBuilder(PROMPT);
        changed.setCharAt(position, '#');
        BlockHashChain chain = chain("one", "v1", PROMPT);
        BlockHashChain other = chain("one", "v1", changed.toString());
        int firstDifferent = position / (BLOCK_TOKENS * Prompt.BYTES_PER_TOKEN);
        for (int block = 0; block < chain.length(); block++) {
            assertThat(chain.hash(block) == other.hash(block)).isEqualTo(block < firstDifferent);
        }
    }

    /** Guards against hashing the incomplete block at the end. */
    @Test
    void omitsIncompleteLastBlock() {
        assertThat(chain("one", "v1", "x".repeat(16 * 3 + 15)).length()).isEqualTo(3);
    }

    /** Guards against a weak hash function. */
    @Test
    void similarBlocksDoNotCollide() {
        Set<Long> hashes = new HashSet<>();
        Random random = new Random(1);
        for (int number = 0; number < 200_000; number++) {
            String text = String.format("%08d%08d", number, random.nextInt(3));
            hashes.add(chain("one", "v1", text).hash(0));
        }
        assertThat(hashes).hasSize(200_000);
    }
}
