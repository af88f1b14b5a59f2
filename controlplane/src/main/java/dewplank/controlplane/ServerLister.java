package dewplank.controlplane;

import dewplank.net.Scheduler;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import dewplank.message.ListVersion;
import dewplank.message.ServerEntry;
import dewplank.message.ServerList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The list of servers: the holder of the duty asks the platform, all keep the newest list. */
final class ServerLister {
    private static final Logger LOG = LoggerFactory.getLogger(ServerLister.class);
    private static final double ASK_EVERY_MS = 400;
    private static final double LOOK_EVERY_MS = 50;

    /** Whether this process holds the duty, and under which fencing number. */
    interface Duty {
        boolean holds();

        long fencingNumber();
    }

    private final Scheduler loop;
    private final PlatformApi platform;
    private final Duty duty;
    private final Consumer<ServerList> changed;
    private ServerList newest = new ServerList(ListVersion.NONE, List.of());
    private boolean asking;
    private boolean failing;
    private double askAt;

    ServerLister(Scheduler loop, PlatformApi platform, Duty duty, Consumer<ServerList> changed) {
        this.loop = loop;
        this.platform = platform;
        this.duty = duty;
        this.changed = changed;
    }

    void start() {
        look();
    }

    ServerList newest() {
        return newest;
    }

    /** Another holder's list; whether it is newer. */
    boolean told(ServerList list) {
        if (list.version.compareTo(newest.version) <= 0) {
            return false;
        }
        newest = list;
        return true;
    }

    private void look() {
        if (duty.holds() && !asking && loop.now() >= askAt) {
            asking = true;
            askAt = loop.now() + ASK_EVERY_MS;
            platform.ask(new Asked());
        }
        loop.after(LOOK_EVERY_MS, this::look);
    }

    private final class Asked implements PlatformApi.Ended {
        @Override
        public void listed(List<ServerEntry> servers) {
            asking = false;
            if (failing) {
                failing = false;
                LOG.info("the platform's list can be read again");
            }
            if (!duty.holds()) {
                return;
            }
            servers.sort(Comparator.comparing(s -> s.instanceId));
            if (newest.version.equals(ListVersion.NONE) || differs(servers)) {
                publish(servers);
            }
        }

        @Override
        public void failed(String why) {
            asking = false;
            if (!failing) {
                failing = true;
                LOG.warn("the platform's list can't be read: {}", why);
            }
        }
    }

    private boolean differs(List<ServerEntry> servers) {
        if (servers.size() != newest.servers.size()) {
            return true;
        }
        for (int i = 0; i < servers.size(); i++) {
            if (!servers.get(i).sameAs(newest.servers.get(i))) {
                return true;
            }
        }
        return false;
    }

    private void publish(List<ServerEntry> servers) {
        long number = duty.fencingNumber();
        long revision = newest.version.fencingNumber == number ? newest.version.revision + 1 : 1;
        newest = new ServerList(new ListVersion(number, revision), servers);
        LOG.info("list of servers {}: {} servers", newest.version, servers.size());
        changed.accept(newest);
    }
}
