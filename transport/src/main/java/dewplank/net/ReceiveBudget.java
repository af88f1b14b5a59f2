package dewplank.net;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory of messages that the connections of an event loop hold because they have received only a part, or
 * because the message is still in use. Each connection reports its bytes to an {@link Account}.
 *
 * <p>A message that is received or completed makes room for itself: incomplete messages are given up, the one that has
 * received no byte for the longest time first. Messages that stop short therefore yield to those that arrive. Messages
 * in use are never given up, so a message that does not fit beside them is rejected.
 *
 * <p>Clients and the fleet's own servers and processes have separate limits, and a total limit that is smaller than
 * their sum. A message from a client never makes the fleet's messages yield. Long messages from clients have a lower
 * limit than all messages from clients, which leaves the difference to short ones. Used on the loop's thread only.
 */
public final class ReceiveBudget {
    /** Messages with more bytes than this are long. */
    static final int SHORT_MESSAGE_BYTES = 32 * 1024;

    /** Who sends the messages of an account. */
    public enum Origin {
        /** Clients and operators. */
        CLIENT,
        /** Servers, the platform and other processes of the fleet. */
        FLEET
    }

    /**
     * Limits in bytes.
     *
     * @param longFromClients limit of long messages from clients; a single longer one is accepted within the others
     * @param fromClients limit of all messages from clients
     * @param fromFleet limit of all messages from the fleet
     * @param total limit of all messages
     */
    record Limits(long longFromClients, long fromClients, long fromFleet, long total) {
        /** Limits for this process's heap. */
        static Limits ofHeap() {
            long heapBytes = Runtime.getRuntime().maxMemory();
            return new Limits(heapBytes / 8, heapBytes / 6, heapBytes / 6, heapBytes / 4);
        }

        long of(Origin origin) {
            return origin == Origin.CLIENT ? fromClients : fromFleet;
        }
    }

    /** The messages from one origin; incomplete ones are in the order in which they last received bytes. */
    private static final class Usage {
        private final Set<Account> incompleteLong = new LinkedHashSet<>();
        private final Set<Account> incompleteShort = new LinkedHashSet<>();
        private long bytes;
        private long longBytes;
        private long bytesInUse;
        private long longBytesInUse;

        private Set<Account> incomplete(Account account) {
            return account.isLong() ? incompleteLong : incompleteShort;
        }

        void add(Account account) {
            bytes += account.bytes;
            longBytes += account.longBytes();
            if (account.inUse) {
                bytesInUse += account.bytes;
                longBytesInUse += account.longBytes();
            } else if (account.bytes > 0) {
                incomplete(account).add(account);
            }
        }

        void remove(Account account) {
            bytes -= account.bytes;
            longBytes -= account.longBytes();
            if (account.inUse) {
                bytesInUse -= account.bytes;
                longBytesInUse -= account.longBytes();
            } else {
                incomplete(account).remove(account);
            }
        }

        /** The first message to give up other than {@code added}; null if there is none. */
        Account nextToGiveUp(Account added) {
            Account candidate = firstOther(incompleteLong, added);
            return candidate != null ? candidate : firstOther(incompleteShort, added);
        }

        private static Account firstOther(Set<Account> accounts, Account added) {
            Iterator<Account> iterator = accounts.iterator();
            Account first = iterator.hasNext() ? iterator.next() : null;
            return first == added && iterator.hasNext() ? iterator.next() : first == added ? null : first;
        }
    }

    private final Limits limits;
    private final Usage clients = new Usage();
    private final Usage fleet = new Usage();
    private long revocationCount;

    /** Gives up a message to free its memory. */
    public interface Owner {
        /**
         * The account's message must be given up, and the account closed or reduced, before this method returns. Not
         * called within {@link Account#hold} of the same account.
         */
        void giveUp();
    }

    /** Creates a budget with limits for this process's heap. */
    ReceiveBudget() {
        this(Limits.ofHeap());
    }

    ReceiveBudget(Limits limits) {
        this.limits = limits;
    }

    /** Opens an account without bytes. */
    public Account open(Origin origin, Owner owner) {
        return new Account(origin, owner);
    }

    /** Bytes held by all accounts. */
    public long totalBytes() {
        return clients.bytes + fleet.bytes;
    }

    /** Number of messages that had to be given up. */
    public long revocationCount() {
        return revocationCount;
    }

    private Usage usage(Origin origin) {
        return origin == Origin.CLIENT ? clients : fleet;
    }

    /** The bytes that one connection holds. */
    public final class Account {
        private final Origin origin;
        private final Owner owner;
        private long bytes;
        private boolean inUse;

        private Account(Origin origin, Owner owner) {
            this.origin = origin;
            this.owner = owner;
        }

        /**
         * Sets the number of bytes that the connection holds of an incomplete message. Other accounts may have to give
         * up their messages.
         *
         * @return whether the connection may keep them; otherwise it must give up its message
         */
        public boolean hold(long heldBytes) {
            return update(heldBytes, inUse);
        }

        /**
         * Sets the number of bytes of a complete message, which is not given up before the next {@link #release}.
         *
         * @return whether the connection may keep them; otherwise it must give up its message
         */
        public boolean holdInUse(long heldBytes) {
            return update(heldBytes, true);
        }

        /** Releases all bytes; the account can be used for the next message. */
        public void release() {
            set(0, false);
        }

        private boolean update(long heldBytes, boolean nextInUse) {
            long added = heldBytes - bytes;
            set(heldBytes, nextInUse);
            return added <= 0 || makeRoomFor(this);
        }

        private void set(long heldBytes, boolean nextInUse) {
            usage(origin).remove(this);
            bytes = heldBytes;
            inUse = nextInUse;
            usage(origin).add(this);
        }

        private boolean isLong() {
            return bytes > SHORT_MESSAGE_BYTES;
        }

        private long longBytes() {
            return isLong() ? bytes : 0;
        }
    }

    /** Returns false if {@code added}, whose bytes have increased, must give up its own message. */
    private boolean makeRoomFor(Account added) {
        if (!fitsBesideMessagesInUse(added)) {
            return false;
        }
        Usage own = usage(added.origin);
        while (own.bytes > limits.of(added.origin) || exceedsLimitOfLong(added)) {
            giveUp(own.nextToGiveUp(added));
        }
        while (totalBytes() > limits.total) {
            Account fromClient = clients.nextToGiveUp(added);
            giveUp(fromClient != null ? fromClient : fleet.nextToGiveUp(added));
        }
        return true;
    }

    private boolean fitsBesideMessagesInUse(Account added) {
        Usage own = usage(added.origin);
        long needed = added.inUse ? own.bytesInUse : own.bytesInUse + added.bytes;
        long others = added.origin == Origin.CLIENT ? fleet.bytes : clients.bytesInUse;
        return needed <= limits.of(added.origin) && needed + others <= limits.total && fitsBesideLongInUse(added);
    }

    private boolean fitsBesideLongInUse(Account added) {
        if (added.origin == Origin.FLEET || !added.isLong()) {
            return true;
        }
        long othersInUse = clients.longBytesInUse - (added.inUse ? added.bytes : 0);
        return othersInUse == 0 || othersInUse + added.bytes <= limits.longFromClients;
    }

    private boolean exceedsLimitOfLong(Account added) {
        return added.origin == Origin.CLIENT
                && added.isLong()
                && clients.longBytes > Math.max(limits.longFromClients, added.bytes);
    }

    private void giveUp(Account account) {
        revocationCount++;
        account.owner.giveUp();
        account.release();
    }
}
