package dewplank.store;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Ballot;
import dewplank.register.RegisterValue;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes the stored bytes of state headers and register values.
 *
 * <p>The first byte is the version of the format. Strings are in the modified UTF-8 of {@link DataOutputStream}, and
 * numbers are big-endian. Later releases read the bytes that this one writes, so a change of the layout needs a new
 * version.
 */
final class StateCodec {
    private static final int VERSION = 1;
    /** The length that is written for a payload that is null. */
    private static final int NO_PAYLOAD = -1;

    private StateCodec() {}

    /**
     * The small part of a {@link dewplank.register.DurableState}, which every save writes: its ballots, and the keys
     * under which its values are stored.
     */
    record StateHeader(Ballot promised, Ballot accepted, long valueKey, Ballot chosenBallot, long chosenKey) {}

    static byte[] encode(StateHeader header) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(VERSION);
        write(out, header.promised());
        write(out, header.accepted());
        out.writeLong(header.valueKey());
        write(out, header.chosenBallot());
        out.writeLong(header.chosenKey());
        return bytes.toByteArray();
    }

    static StateHeader decodeHeader(byte[] bytes) throws IOException {
        DataInputStream in = versioned(bytes);
        return new StateHeader(readBallot(in), readBallot(in), in.readLong(), readBallot(in), in.readLong());
    }

    static byte[] encode(RegisterValue value) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(VERSION);
        out.writeLong(value.acceptors().generation());
        write(out, value.acceptors().members());
        write(out, value.acceptors().joining());
        out.writeLong(value.revision());
        byte[] payload = value.payload();
        out.writeInt(payload == null ? NO_PAYLOAD : payload.length);
        if (payload != null) {
            out.write(payload);
        }
        return bytes.toByteArray();
    }

    static RegisterValue decodeValue(byte[] bytes) throws IOException {
        DataInputStream in = versioned(bytes);
        AcceptorSet acceptors = new AcceptorSet(in.readLong(), readAcceptors(in), readAcceptors(in));
        long revision = in.readLong();
        int length = in.readInt();
        if (length == NO_PAYLOAD) {
            return new RegisterValue(acceptors, revision, null);
        }
        byte[] payload = new byte[length];
        in.readFully(payload);
        return new RegisterValue(acceptors, revision, payload);
    }

    private static DataInputStream versioned(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int version = in.readUnsignedByte();
        if (version != VERSION) {
            throw new IOException("format " + version + " is unknown");
        }
        return in;
    }

    private static void write(DataOutputStream out, Ballot ballot) throws IOException {
        out.writeLong(ballot.round());
        out.writeUTF(ballot.proposer());
    }

    private static Ballot readBallot(DataInputStream in) throws IOException {
        return new Ballot(in.readLong(), in.readUTF());
    }

    private static void write(DataOutputStream out, List<AcceptorId> acceptors) throws IOException {
        out.writeShort(acceptors.size());
        for (AcceptorId acceptor : acceptors) {
            out.writeUTF(acceptor.address());
            out.writeUTF(acceptor.identity());
        }
    }

    private static List<AcceptorId> readAcceptors(DataInputStream in) throws IOException {
        int size = in.readUnsignedShort();
        List<AcceptorId> acceptors = new ArrayList<>(size);
        for (int index = 0; index < size; index++) {
            acceptors.add(new AcceptorId(in.readUTF(), in.readUTF()));
        }
        return acceptors;
    }
}
