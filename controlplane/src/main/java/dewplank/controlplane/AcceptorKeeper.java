package dewplank.controlplane;

import dewplank.net.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import dewplank.register.Acceptor;
import dewplank.register.AcceptorSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the acceptors what they should be: the holder of the duty compares the set with the control sidecars that live,
 * and replaces one that has lost its disk or is gone for good, or grows the set to an odd number.
 */
final class AcceptorKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(AcceptorKeeper.class);
    private static final double LOOK_EVERY_MS = 500;
    private static final double LIVE_MS = 1_000;          // heard within this
    private static final double SETTLED_MS = 1_000;       // a newcomer has been there for so long
    private static final double GONE_MS = 5_000;          // an acceptor unheard for so long may be replaced by another
    private static final double CHANGE_MS = 1_500;
    private static final int MOST_ACCEPTORS = 9;

    private final EventLoop loop;
    private final Acceptor self;
    private final ControlMesh mesh;
    private final ConfigurationStore configuration;
    private final ServerLister.Duty duty;
    private final Map<String, Double> missingSince = new HashMap<>();

    AcceptorKeeper(EventLoop loop, String address, String identity, ControlMesh mesh, ConfigurationStore configuration,
                   ServerLister.Duty duty) {
        this.loop = loop;
        this.self = new Acceptor(address, identity);
        this.mesh = mesh;
        this.configuration = configuration;
        this.duty = duty;
    }

    void start() {
        look();
    }

    private void look() {
        AcceptorSet set = configuration.acceptors();
        List<Acceptor> live = live(LIVE_MS, 0);
        note(set, live);
        if (duty.holds() && configuration.quorate(LIVE_MS)) {
            List<Acceptor> wanted = wanted(set.members(), live, live(LIVE_MS, SETTLED_MS));
            if (!wanted.equals(set.members()) && !set.isJoint()) {
                LOG.info("acceptors {} are to become {}", set.members(), wanted);
                configuration.replaceAcceptors(set.generation(), wanted, CHANGE_MS);
            }
        }
        loop.after(LOOK_EVERY_MS, this::look);
    }

    private List<Acceptor> live(double within, double settled) {
        List<Acceptor> live = new ArrayList<>();
        live.add(self);
        for (ControlMesh.Peer p : mesh.peers(within)) {
            if (loop.now() - p.since() >= settled) {
                live.add(new Acceptor(p.member().address, p.identity()));
            }
        }
        return live;
    }

    private void note(AcceptorSet set, List<Acceptor> live) {
        double now = loop.now();
        for (Acceptor a : set.members()) {
            if (live.contains(a)) {
                missingSince.remove(a.identity());
            } else {
                missingSince.putIfAbsent(a.identity(), now);
            }
        }
        missingSince.keySet().removeIf(id -> set.members().stream().noneMatch(a -> a.identity().equals(id)));
    }

    /** One step towards what should be: one replacement, or growth by as many as make the number odd. */
    private List<Acceptor> wanted(List<Acceptor> members, List<Acceptor> live, List<Acceptor> settled) {
        for (Acceptor member : members) {
            Acceptor wiped = sameAddress(live, member);
            if (wiped != null) {
                return replaced(members, member, wiped);
            }
        }
        List<Acceptor> spare = new ArrayList<>(settled);
        spare.removeAll(members);
        for (Acceptor member : members) {
            double since = missingSince.getOrDefault(member.identity(), loop.now());
            if (loop.now() - since >= GONE_MS && !spare.isEmpty()) {
                return replaced(members, member, spare.get(0));
            }
        }
        int grown = Math.min(MOST_ACCEPTORS, members.size() + spare.size());
        grown -= grown % 2 == 0 ? 1 : 0;
        if (grown > members.size()) {
            List<Acceptor> more = new ArrayList<>(members);
            more.addAll(spare.subList(0, grown - members.size()));
            return more;
        }
        return members;
    }

    private static Acceptor sameAddress(List<Acceptor> live, Acceptor member) {
        return live.stream().filter(a -> a.address().equals(member.address()) && !a.equals(member))
            .findFirst().orElse(null);
    }

    private static List<Acceptor> replaced(List<Acceptor> members, Acceptor old, Acceptor by) {
        List<Acceptor> next = new ArrayList<>(members);
        next.remove(by);
        next.set(next.indexOf(old), by);
        return next;
    }
}
