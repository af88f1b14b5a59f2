package dewplank.balancer.adaptive;

import dewplank.balancer.Endpoint;

import dewplank.balancer.health.ServerHealth;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** What {@link AdaptiveBalancer} and its parts remember: plain holders and running figures, no decisions. */
final class Memory {
    private Memory() { }

    /** A class of requests: its rules, its worth so far, and the times its requests take. */
    static final class Kind {
        final RequestClass rules;
        final Mean work;
        final Mean took = new Mean(0);
        double worthAsked;
        double worthServed;
        double idleTook;
        double tookAt;

        Kind(RequestClass rules, double firstGuess) {
            this.rules = rules;
            this.work = new Mean(firstGuess);
            this.idleTook = firstGuess;
        }

        double servedShare() {
            return worthAsked <= 0 ? 1 : worthServed / worthAsked;
        }
    }

    /** What was learned of the whole fleet, and the time it is now. */
    static final class Fleet {
        final Map<String, Zone> zones = new HashMap<>();
        double now;
        double slowness = 1;
        double deviation = 0.5;
        double connectExtra;
        double connectFailing;
        double answeredAt;
        double timedAt;
        double recentTimes = 1;   // of each class's idle time, by warm servers on open connections
        final Mean took = new Mean(0);
        final Line tookByCost = new Line();
    }

    /** What was learned of the requests that come, and of the room there is for them. */
    static final class Demand {
        final Map<String, Kind> kinds = new LinkedHashMap<>();
        final Map<String, Account> accounts = new HashMap<>();
        final Ranking densities = new Ranking();
        double meanWorth;
        double pressure;
        double pressureAt;
        double shortage;
    }

    /** The servers as of the last review: in use, free of a verdict, held by one, and those mostly drawn from. */
    static final class Sets {
        final List<Server> ready = new ArrayList<>();
        final List<Server> free = new ArrayList<>();
        final List<Server> held = new ArrayList<>();
        final List<Server> working = new ArrayList<>();
    }

    /** An average: of all samples at first, then one that follows each so far. */
    static final class Mean {
        double value;
        long count;

        Mean(double firstGuess) {
            this.value = firstGuess;
        }

        void follow(double sample, double leastStep) {
            value += (sample - value) * Math.max(1.0 / ++count, leastStep);
        }
    }

    /** Running averages of pairs, and the slope of the line through them. */
    static final class Line {
        double meanX;
        double meanSquare;
        double meanProduct;

        void follow(double x, double y, double step) {
            meanX += (x - meanX) * step;
            meanSquare += (x * x - meanSquare) * step;
            meanProduct += (x * y - meanProduct) * step;
        }

        double slope(double meanY) {
            double variance = meanSquare - meanX * meanX;
            return variance <= 0 ? 0 : (meanProduct - meanY * meanX) / variance;
        }
    }

    /** Recent values, to tell where a new one stands among them. */
    static final class Ranking {
        private final double[] recent = new double[256];
        private int count;

        /** From 0 to 1, after the value is added; equal ones share their span by {@code lot}, from 0 to 1. */
        double add(double value, double lot) {
            recent[count++ % recent.length] = value;
            int n = Math.min(count, recent.length);
            int less = 0;
            int equal = 0;
            for (int i = 0; i < n; i++) {
                less += recent[i] < value * 0.999 ? 1 : 0;
                equal += Math.abs(recent[i] - value) <= value * 0.001 ? 1 : 0;
            }
            return (less + lot * equal) / n;
        }
    }

    /** A sum that fades with time; as of its last addition in {@code value}. */
    static final class Rate {
        final double tau;
        double value;
        double last;

        Rate(double tau) {
            this.tau = tau;
        }

        void add(double now, double amount) {
            value = at(now) + amount;
            last = now;
        }

        double at(double now) {
            return value * Math.exp((last - now) / tau);
        }
    }

    /** A tenant and the rate of its requests. */
    static final class Account {
        final Tenant tenant;
        final Rate rate;

        Account(Tenant tenant, double tau) {
            this.tenant = tenant;
            this.rate = new Rate(tau);
        }
    }

    /** A zone: the least time lately from a send there to its answer. */
    static final class Zone {
        double least;
    }

    /** A server as listed, and what this sidecar knows of it. */
    static final class Server {
        final String id;
        final long order;
        Endpoint entry;
        Zone zone;
        boolean home;
        boolean condemned;
        boolean inSet;
        boolean gone;
        boolean sawDraining;
        final ServerHealth health = new ServerHealth();
        final LinkedHashSet<Attempt> outstanding = new LinkedHashSet<>();
        int doubts;
        double doubtSince;
        double lastDoubt;
        double lastServedSentAt = Double.NEGATIVE_INFINITY;
        double lastTrial = Double.NEGATIVE_INFINITY;
        double lastProbe = Double.NEGATIVE_INFINITY;
        boolean probeServed = true;
        double restFrom;
        double restUntil;
        double rest;
        final Mean fast = new Mean(0);
        final Mean lasting = new Mean(0);
        double usualLoad = 1;
        double lastSample;
        int connections;
        double lastUse;
        double coldAt;
        double coldSaved;

        Server(String id, long order) {
            this.id = id;
            this.order = order;
        }
    }

    /** A request from its arrival until it is over and nothing of it is out. */
    static final class Request {
        final long id;
        final Kind kind;
        final String key;
        final double arrived;
        final double giveUp;
        final Double cost;
        final double worth;
        final double density;
        final List<Attempt> attempts = new ArrayList<>();
        Server keyServer;
        boolean over;
        boolean streaming;

        Request(RequestArrived a, Kind kind, double now, double worth, double density) {
            this.id = a.request();
            this.kind = kind;
            this.key = a.key();
            this.arrived = now;
            this.giveUp = now + a.budgetMs();
            this.cost = a.costMs();
            this.worth = worth;
            this.density = density;
        }

        /** In milliseconds of a standard core, as told or as its class usually takes. */
        double work() {
            return cost == null ? kind.work.value : cost;
        }

        double aimAt() {
            RequestClass c = kind.rules;
            double aim = c.latencyTargetMs() + c.latencyTargetPerWork() * (cost == null ? 0 : cost);
            return arrived + Math.min(aim, c.deadlineMs());
        }

        double aim() {
            return aimAt() - arrived;
        }

        boolean anyOut() {
            return attempts.stream().anyMatch(a -> a.state == State.OUT);
        }
    }

    /** Of an attempt: out, or what its outcome proves. */
    enum State { OUT, NEVER_RAN, MAY_HAVE_RUN }

    /** One send of a request. */
    static final class Attempt {
        final Request request;
        final int number;
        final Server server;
        final String zone;
        final long cell;
        final double sentAt;
        final int loadAtSend;
        final boolean connects;
        State state = State.OUT;
        boolean overdue;
        double overdueAt;

        Attempt(Request request, Server server, double sentAt, int loadAtSend, boolean connects) {
            this.request = request;
            this.number = request.attempts.size();
            this.server = server;
            this.zone = server.entry.zone();
            this.cell = server.entry.cell();
            this.sentAt = sentAt;
            this.loadAtSend = loadAtSend;
            this.connects = connects;
        }
    }
}
