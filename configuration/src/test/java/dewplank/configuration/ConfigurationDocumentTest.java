package dewplank.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.ChangeResult.Accepted;
import dewplank.configuration.ChangeResult.AlreadyAccepted;
import dewplank.configuration.ChangeResult.HistoryExpired;
import dewplank.configuration.ChangeResult.Invalid;
import dewplank.configuration.ChangeResult.VersionMismatch;
import dewplank.configuration.InvalidConfigurationException.Reason;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class ConfigurationDocumentTest {
    private static final ConfigurationDocument EMPTY = ConfigurationDocument.decode(null);

    private static ChangeRequest put(long expected, String body) {
        return new ChangeRequest(false, expected, Samples.bytes(body));
    }

    private static ChangeRequest patch(long expected, String body) {
        return new ChangeRequest(true, expected, Samples.bytes(body));
    }

    private static ConfigurationDocument applyValidChange(ConfigurationDocument document, ChangeRequest request) {
        return assertInstanceOf(Accepted.class, document.apply(request)).next();
    }

    private static Reason rejectionReason(ConfigurationDocument document, ChangeRequest request) {
        return assertInstanceOf(Invalid.class, document.apply(request)).error().reason();
    }

    @Test
    void acceptsOnlyChangesBasedOnTheCurrentVersion() {
        assertEquals(0, EMPTY.version());
        assertNull(EMPTY.configuration());
        ConfigurationDocument first = applyValidChange(EMPTY, put(0, Samples.document(5)));
        ConfigurationDocument second = applyValidChange(first, patch(5, "{\"config_version\":9}"));
        assertEquals(9, second.version());
        assertEquals(Samples.document(9), Samples.text(second.configuration().json()));
        assertEquals(new VersionMismatch(9), second.apply(patch(5, "{\"config_version\":11}")));
        assertEquals(new VersionMismatch(9), second.apply(put(0, Samples.document(5, "", ""))));
    }

    @Test
    void recognisesARetriedChangeAfterNewerChanges() {
        ChangeRequest first = put(0, Samples.document(5));
        ChangeRequest second = patch(5, "{\"config_version\":9}");
        ConfigurationDocument document = applyValidChange(applyValidChange(EMPTY, first), second);
        document = applyValidChange(document, put(9, Samples.document(12)));
        document = ConfigurationDocument.decode(document.encode());
        assertEquals(new AlreadyAccepted(5), document.apply(first));
        assertEquals(new AlreadyAccepted(9), document.apply(second));
        assertEquals(new VersionMismatch(12), document.apply(put(5, "{\"config_version\":9}")));
        assertEquals(new VersionMismatch(12), document.apply(patch(5, "{\"config_version\":9 }")));
    }

    @Test
    void limitsTheNumberOfChangesInTheHistory() throws IOException {
        ConfigurationDocument document = applyValidChange(EMPTY, put(0, Samples.document(1)));
        for (int version = 2; version <= ConfigurationDocument.MAX_HISTORY_CHANGES + 1; version++) {
            document = applyValidChange(document, patch(version - 1, "{\"config_version\":" + version + "}"));
        }
        assertEquals(new AlreadyAccepted(2), document.apply(patch(1, "{\"config_version\":2}")));
        assertEquals(
                ConfigurationDocument.MAX_HISTORY_CHANGES * 24
                        + 11
                        + document.configuration().json().length,
                inflate(document.encode()).length);
        assertTrue(document.encode().length <= ConfigurationDocument.MAX_HISTORY_CHANGES * 24 + 1_000);
    }

    /** Inflates the content of a payload, which follows its first byte. */
    private static byte[] inflate(byte[] payload) throws IOException {
        return DeflateCodec.inflate(Arrays.copyOfRange(payload, 1, payload.length), 64 << 20);
    }

    /** A register round sends the payload to each acceptor; for 2,000 routes it should take a few milliseconds. */
    @Test
    void compressesALargeConfiguration() {
        ChangeRequest change = put(0, Samples.large(5, 2_000));
        ConfigurationDocument document = applyValidChange(EMPTY, change);
        byte[] payload = document.encode();
        assertTrue(payload.length < document.configuration().json().length / 5, payload.length + " bytes");
        assertEquals(
                new AlreadyAccepted(5), ConfigurationDocument.decode(payload).apply(change));
    }

    /** Disks of earlier releases contain uncompressed documents. */
    @Test
    void readsUncompressedDocuments() throws IOException {
        ChangeRequest change = put(0, Samples.document(5));
        byte[] payload = applyValidChange(EMPTY, change).encode();
        assertEquals(
                new AlreadyAccepted(5),
                ConfigurationDocument.decode(inflate(payload)).apply(change));
    }

    @Test
    void rejectsDamagedPayloads() {
        byte[] payload = applyValidChange(EMPTY, put(0, Samples.document(5))).encode();
        byte[] truncated = Arrays.copyOf(payload, payload.length / 2);
        assertThrows(IllegalArgumentException.class, () -> ConfigurationDocument.decode(truncated));
        assertThrows(IOException.class, () -> DeflateCodec.inflate(DeflateCodec.deflate(new byte[1 << 20]), 1 << 10));
    }

    /** A change that may have been dropped from the history must not be rejected, since it may have been accepted. */
    @Test
    void neitherConfirmsNorRejectsChangesThatTheHistoryDoesNotCover() {
        ConfigurationDocument document = applyValidChange(EMPTY, put(0, Samples.document(1)));
        for (int version = 2; version <= ConfigurationDocument.MAX_HISTORY_CHANGES + 1; version++) {
            document = applyValidChange(document, patch(version - 1, "{\"config_version\":" + version + "}"));
        }
        document = ConfigurationDocument.decode(document.encode());
        assertEquals(new HistoryExpired(1), document.apply(put(0, Samples.document(1))));
        assertEquals(new HistoryExpired(1), document.apply(put(0, Samples.document(1, "", ""))));
        assertEquals(new VersionMismatch(document.version()), document.apply(put(1, Samples.document(2))));
        assertEquals(
                new VersionMismatch(document.version()),
                document.apply(put(document.version() + 1, Samples.document(document.version() + 2))));
        assertEquals(Reason.UNREADABLE, rejectionReason(document, put(0, "{")));
    }

    /** While the history contains all changes, a change based on a version that never existed was never accepted. */
    @Test
    void rejectsAChangeBasedOnAVersionThatNeverExisted() {
        ConfigurationDocument document =
                applyValidChange(applyValidChange(EMPTY, put(0, Samples.document(5))), put(5, Samples.document(9)));
        assertEquals(new VersionMismatch(9), document.apply(put(7, Samples.document(8))));
        assertEquals(new VersionMismatch(9), document.apply(put(0, Samples.document(7))));
    }

    /** Disks of the first release contain each change with its base version and its full digest. */
    @Test
    void readsDocumentsOfTheFirstRelease() throws IOException {
        ChangeRequest first = put(0, Samples.document(5));
        ChangeRequest second = put(5, Samples.document(9));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(1);
            out.writeShort(2);
            out.writeLong(5);
            out.writeLong(0);
            out.write(first.digest());
            out.writeLong(9);
            out.writeLong(5);
            out.write(second.digest());
            out.write(Samples.bytes(Samples.document(9)));
        }
        ConfigurationDocument document = ConfigurationDocument.decode(bytes.toByteArray());
        assertEquals(new AlreadyAccepted(5), document.apply(first));
        assertEquals(new AlreadyAccepted(9), document.apply(second));
        assertEquals(new VersionMismatch(9), document.apply(put(5, Samples.document(10))));
    }

    @Test
    void rejectsInvalidChanges() {
        ConfigurationDocument first = applyValidChange(EMPTY, put(0, Samples.document(5)));
        assertEquals(Reason.UNREADABLE, rejectionReason(first, put(5, "{")));
        assertEquals(Reason.UNREADABLE, rejectionReason(first, put(4, "{")));
        assertEquals(Reason.UNREADABLE, rejectionReason(first, put(4, "")));
        assertEquals(Reason.VERSION_NOT_ABOVE, rejectionReason(first, put(5, Samples.document(5))));
        assertEquals(Reason.VERSION_NOT_ABOVE, rejectionReason(first, put(5, Samples.document(4))));
        assertEquals(Reason.VERSION_NOT_ABOVE, rejectionReason(first, patch(5, "{\"config_version\":5}")));
        assertEquals(Reason.MISSING_FIELD, rejectionReason(EMPTY, patch(0, "{\"config_version\":5}")));
        assertEquals(
                Reason.TOO_LARGE,
                rejectionReason(EMPTY, put(0, Samples.document(5) + " ".repeat(ConfigurationDocument.MAX_BODY_BYTES))));
    }

    @Test
    void rejectsASecondChangeBasedOnTheSameVersion() {
        ConfigurationDocument first = applyValidChange(EMPTY, put(0, Samples.document(5)));
        ConfigurationDocument second = applyValidChange(first, patch(5, "{\"config_version\":7}"));
        assertEquals(new VersionMismatch(7), second.apply(patch(5, "{\"config_version\":7,\"limits\":null}")));
    }

    @Test
    void decodesEncodedDocuments() {
        assertEquals(0, ConfigurationDocument.decode(EMPTY.encode()).version());
        ConfigurationDocument first = applyValidChange(EMPTY, put(0, Samples.document(5)));
        assertArrayEquals(
                first.encode(), ConfigurationDocument.decode(first.encode()).encode());
    }
}
