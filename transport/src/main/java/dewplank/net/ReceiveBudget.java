package dewplank.net;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Limits the bytes of messages that the connections of an event loop hold because they have received only a part, or
 * because the message is still in use. Each connection reports its bytes to an {@link Account}.
 *
 * <p>If all accounts together exceed the limit, the one with the most bytes has to give up its message, so that short
 * messages are received while long ones are rejected. Messages of up to {@link #SHORT_MESSAGE_BYTES} have an additional
 * reserve. Used on the loop's thread only.
 */
public final class ReceiveBudget {
    /** Accounts with fewer bytes give up their message only if the reserve is exhausted as well. */
    static final int SHORT_MESSAGE_BYTES = 16 * 1024;

    /** The limit is the maximum heap size divided by this. */
    private static final int HEAP_DIVISOR = 6;
    /** The reserve for short messages is the maximum heap size divided by this. */
    private static final int RESERVE_HEAP_DIVISOR = 12;

    private final long maxBytes;
    private final long maxBytesWithReserve;
    private final Set<Account> longAccounts = new LinkedHashSet<>();
    private final Set<Account> shortAccounts = new LinkedHashSet<>();
    private long totalBytes;
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
        this(
                Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
                Runtime.getRuntime().maxMemory() / RESERVE_HEAP_DIVISOR);
    }

    ReceiveBudget(long maxBytes, long reserveBytes) {
        this.maxBytes = maxBytes;
        this.maxBytesWithReserve = maxBytes + reserveBytes;
    }

    /** Opens an account without bytes. */
    public Account open(Owner owner) {
        return new Account(owner);
    }

    /** Bytes held by all accounts. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Number of messages that had to be given up. */
    public long revocationCount() {
        return revocationCount;
    }

    /** The bytes that one connection holds. */
    public final class Account {
        private final Owner owner;
        private long bytes;
        private boolean inUse;

        private Account(Owner owner) {
            this.owner = owner;
        }

        /**
         * Sets the number of bytes that the connection holds. Other accounts may have to give up their messages.
         *
         * @return whether the connection may keep them; otherwise it must give up its message
         */
        public boolean hold(long heldBytes) {
            long added = heldBytes - bytes;
            if (added == 0) {
                return true;
            }
            update(heldBytes);
            return added < 0 || makeRoomFor(this);
        }

        /** Marks the message as complete and in use: it is not given up before the next {@link #release}. */
        public void markInUse() {
            unregister();
            inUse = true;
        }

        /** Releases all bytes; the account can be used for the next message. */
        public void release() {
            inUse = false;
            update(0);
        }

        private void update(long heldBytes) {
            totalBytes += heldBytes - bytes;
            unregister();
            bytes = heldBytes;
            if (bytes > 0 && !inUse) {
                (isShort() ? shortAccounts : longAccounts).add(this);
            }
        }

        private void unregister() {
            if (bytes > 0 && !inUse) {
                (isShort() ? shortAccounts : longAccounts).remove(this);
            }
        }

        private boolean isShort() {
            return bytes <= SHORT_MESSAGE_BYTES;
        }
    }

    /** Returns false if {@code added}, whose bytes have increased, must give up its own message. */
    private boolean makeRoomFor(Account added) {
        while (totalBytes > maxBytes) {
            Optional<Account> victim = largest(longAccounts);
            if (victim.isEmpty() && totalBytes > maxBytesWithReserve) {
                victim = largest(shortAccounts);
            }
            if (victim.isEmpty()) {
                return totalBytes <= maxBytesWithReserve || added.inUse;
            }
            revocationCount++;
            if (victim.get().bytes <= added.bytes) { // includes this account itself
                return false;
            }
            revoke(victim.get());
        }
        return true;
    }

    private static Optional<Account> largest(Collection<Account> accounts) {
        return accounts.stream().max(Comparator.comparingLong(account -> account.bytes));
    }

    private static void revoke(Account account) {
        account.owner.giveUp();
        account.release();
    }
}
