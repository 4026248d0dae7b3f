package org.bergamothoist.core.sheet;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SheetCsvTest {

    private static final String HEADER =
            "organisation,base_version,key_digest,kind,model,adapter,version,service,path_prefix,"
                    + "non_idempotent,requests_per_second,concurrent_streams,weight";
    private static final String KEY = "ab".repeat(32);
    private static final String MODEL = "Zürich,7," + KEY + ",model,m,a,1,,,yes,5,6,2";
    private static final String SERVICE = "Zürich,7," + KEY + ",service,,,,s,/p,no,5,6,2";
    private static final OrganisationEntry ENTRY =
            new OrganisationEntry(
                    new OrganisationId("Zürich"),
                    7,
                    KEY,
                    List.of(new ModelEntitlement(new ModelKey("m", "a", "1"), true)),
                    List.of(new ServiceEntitlement("s", "/p", false)),
                    new OrganisationLimits(5, 6, 2));

    private static ParsedSheet parse(String... lines) {
        return SheetCsv.parse(String.join("\r\n", lines).getBytes(UTF_8));
    }

    private static void assertError(ParsedSheet sheet, int row, String column, String reason) {
        assertThat(sheet.entries()).isEmpty();
        assertThat(sheet.errors())
                .anySatisfy(
                        error -> {
                            assertThat(error.row()).isEqualTo(row);
                            assertThat(error.column()).isEqualTo(column);
                            assertThat(error.reason()).contains(reason);
                        });
    }

    @ParameterizedTest
    @CsvSource({"'', ',', 10", "'', ';', 13 10", "FEFF, ',', 13 10", "FEFF, ';', 10"})
    @DisplayName("guards against refusing or misreading a CSV dialect that planners export")
    void acceptsCsvDialects(String byteOrderMark, char delimiter, String lineEnd) {
        String newLine = lineEnd.equals("10") ? "\n" : "\r\n";
        String text =
                String.join(newLine, HEADER, MODEL, ",,,,", "", SERVICE, ",,,,,,,,,,,,,,", "", "")
                        .replace(',', delimiter);
        ParsedSheet sheet =
                SheetCsv.parse(((byteOrderMark.isEmpty() ? "" : "\uFEFF") + text).getBytes(UTF_8));
        assertThat(sheet.errors()).isEmpty();
        assertThat(sheet.entries()).containsExactly(ENTRY);
    }

    @Test
    @DisplayName("guards against reading cells from the wrong column and keeping quotes as text")
    void acceptsColumnsInAnyOrder() {
        ParsedSheet sheet =
                parse(
                        "weight,Kind,model,adapter,version,service,path_prefix,NON_IDEMPOTENT,"
                                + "requests_per_second,concurrent_streams,key_digest,base_version,"
                                + " organisation ",
                        "2,model,m,a,1,,,Yes,5,6," + KEY.toUpperCase() + ",7,\"Zürich\"",
                        "2,service,,,,s,/p,no,5,6," + KEY + ",7,Zürich");
        assertThat(sheet.errors()).isEmpty();
        assertThat(sheet.entries()).containsExactly(ENTRY);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Zu\u0308rich", "\u200FZürich\u200E", "\u00A0Zürich "})
    @DisplayName("guards against equal-looking names that are stored differently")
    void normalisesNames(String name) {
        assertThat(parse(HEADER, MODEL.replace("Zürich", name), SERVICE).entries())
                .containsExactly(ENTRY);
    }

    @ParameterizedTest
    @CsvSource({
        "0, '', organisation, is required",
        "0, -x, organisation, not a valid organisation",
        "1, x, base_version, not a whole number",
        "1, -1, base_version, must be from 0",
        "1, '', base_version, is required",
        "2, abc, key_digest, 64 hexadecimal",
        "3, engine, kind, must be model or service",
        "3, '', kind, is required",
        "4, '', model, is required",
        "4, -m, model, not a valid model",
        "5, -a, model, not a valid adapter",
        "6, '', version, is required",
        "7, s, service, must be blank",
        "8, /p, path_prefix, must be blank",
        "9, '', non_idempotent, is required",
        "9, true, non_idempotent, must be yes or no",
        "10, 0, requests_per_second, must be from 1",
        "10, 99999999999999999999, requests_per_second, not a whole number",
        "11, 1.5, concurrent_streams, not a whole number",
        "12, 0, weight, must be from 1",
    })
    @DisplayName(
            "guards against accepting an invalid model row or reporting it without its position")
    void reportsInvalidModelRow(int column, String value, String name, String reason) {
        assertError(parse(HEADER, replaceCell(MODEL, column, value)), 2, name, reason);
    }

    @ParameterizedTest
    @CsvSource({
        "4, m, model, must be blank",
        "5, a, adapter, must be blank",
        "6, 1, version, must be blank",
        "7, '', service, is required",
        "7, a/b, service, not a valid service",
        "8, '', path_prefix, is required",
        "8, p, path_prefix, must start with a slash",
        "8, /a/../b, path_prefix, must start with a slash",
        "8, /a?b, path_prefix, must start with a slash",
    })
    @DisplayName("guards against accepting an invalid service row or reporting it without position")
    void reportsInvalidServiceRow(int column, String value, String name, String reason) {
        assertError(parse(HEADER, MODEL, replaceCell(SERVICE, column, value)), 3, name, reason);
    }

    @ParameterizedTest
    @CsvSource({
        "1, 8, base_version",
        "2, cd, key_digest",
        "10, 9, requests_per_second",
        "11, 9, concurrent_streams",
        "12, 9, weight",
    })
    @DisplayName("guards against one row of an organisation silently overriding another")
    void reportsInconsistentRows(int column, String value, String name) {
        assertError(
                parse(HEADER, MODEL, replaceCell(SERVICE, column, value)),
                3,
                name,
                "differs from row 2");
    }

    private static String replaceCell(String row, int column, String value) {
        String[] cells = row.split(",", -1);
        cells[column] = value;
        return String.join(",", cells);
    }

    @Test
    @DisplayName("guards against duplicate entitlements, shared keys and cells outside the columns")
    void reportsErrorsAcrossRows() {
        String other = MODEL.replace("Zürich", "Other");
        ParsedSheet sheet = parse(HEADER, MODEL, MODEL, SERVICE, SERVICE, other, MODEL + ",stray");
        assertError(sheet, 3, "model", "again");
        assertError(sheet, 5, "path_prefix", "again");
        assertError(sheet, 2, "key_digest", "also the key of Other");
        assertError(sheet, 7, "", "cell without a column");
    }

    @Test
    @DisplayName("guards against partly reading a file that has a wrong header or is no sheet")
    void reportsFileErrors() {
        assertError(parse(""), 0, "", "no header row");
        assertError(parse(HEADER, ""), 0, "", "no rows");
        assertError(parse(HEADER.replace("kind", "sort"), MODEL), 1, "kind", "is missing");
        assertError(parse(HEADER.replace("kind", "sort"), MODEL), 1, "sort", "not a known column");
        assertError(parse(HEADER + ",kind", MODEL), 1, "kind", "appears twice");
        assertError(parse(HEADER, "\"open," + MODEL), 2, "", "not valid CSV");
        assertError(SheetCsv.parse((HEADER + "\n" + MODEL).getBytes(ISO_8859_1)), 0, "", "UTF-8");
        assertError(SheetCsv.parse(new byte[SheetCsv.MAXIMUM_BYTES + 1]), 0, "", "is larger");
        String rows = "x\n".repeat(SheetCsv.MAXIMUM_ROWS + 1);
        assertError(SheetCsv.parse((HEADER + "\n" + rows).getBytes(UTF_8)), 0, "", "more than");
    }

    @Test
    @DisplayName("guards against an exported sheet that conflicts or changes when submitted again")
    void writtenSheetIsParsedToEqualContent() {
        OrganisationEntry empty =
                new OrganisationEntry(
                        new OrganisationId("ورشة"),
                        0,
                        "cd".repeat(32),
                        List.of(),
                        List.of(),
                        new OrganisationLimits(1, 1, 1));
        List<OrganisationState> states =
                List.of(
                        new OrganisationState(ENTRY, 40, "biel"),
                        new OrganisationState(empty, 41, "bern"));
        ParsedSheet sheet = SheetCsv.parse(SheetCsv.write(states).getBytes(UTF_8));

        assertThat(sheet.errors()).isEmpty();
        assertThat(sheet.entries()).extracting(OrganisationEntry::baseVersion).contains(40L, 41L);
        assertThat(sheet.entries()).anyMatch(entry -> entry.sameContent(ENTRY));
        assertThat(sheet.entries()).anyMatch(entry -> entry.sameContent(empty));
    }

    @ParameterizedTest
    @ValueSource(strings = {"brunner", "al-harthy"})
    @DisplayName("guards against invalid example sheets")
    void exampleSheetsAreValid(String deployment) throws Exception {
        ParsedSheet sheet = SheetCsv.parse(readExample(deployment));
        assertThat(sheet.errors()).isEmpty();
        assertThat(sheet.entries()).hasSize(8);
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        for (OrganisationEntry entry : sheet.entries()) {
            byte[] name = entry.organisation().value().getBytes(UTF_8);
            String encoded = Base64.getUrlEncoder().withoutPadding().encodeToString(name);
            byte[] key = (encoded + "-caller-key").getBytes(UTF_8);
            assertThat(entry.keyDigest()).isEqualTo(HexFormat.of().formatHex(digest.digest(key)));
        }
        assertThat(
                        SheetConflictDetector.findConflicts(
                                sheet.entries(),
                                "biel",
                                id -> Optional.empty(),
                                key -> Optional.empty()))
                .isEmpty();
    }

    private static byte[] readExample(String deployment) throws IOException {
        return Files.readAllBytes(Path.of("..", "deployments", deployment, "sheet.csv"));
    }
}
