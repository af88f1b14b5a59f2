package dewplank.register;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Copies and prints the state of a register by reflection, so that a model can branch at any step. Times and query ids
 * are reset after each step, because the model lets every timeout occur at any time.
 */
final class RegisterSnapshot {
    /** The mutable parts of a register; all other objects are immutable or collections. */
    private static final Set<Class<?>> MUTABLE_PARTS = Set.of(
            Register.class,
            Acceptor.class,
            Learner.class,
            Proposer.class,
            Reader.class,
            AntiEntropy.class,
            RoundCompleter.class,
            QueryIds.class,
            Round.class,
            ProposerState.InRound.class,
            ProposerState.BackingOff.class);

    /**
     * Fields without influence on messages or votes: the reports counted by anti-entropy, attempts and ids. Because ids
     * are reset, all runs of anti-entropy use the same query id, and a report to any of them counts for the last run.
     */
    private static final Set<String> EXCLUDED_FIELDS = Set.of(
            "AntiEntropy.reporters",
            "AntiEntropy.newestReported",
            "AntiEntropy.newestReportedByQuorum",
            "QueryIds.last",
            "InRound.attempt",
            "BackingOff.attempt",
            "Acceptor.storeId",
            "ChangeTask.change");

    /** Superclasses from the JDK, whose fields are ignored. */
    private static final Set<Class<?>> ROOTS = Set.of(Object.class, Record.class, Enum.class);

    private static final Map<Class<?>, List<Field>> FIELDS = new HashMap<>();

    private RegisterSnapshot() {}

    static Register<String> copy(Register<String> register, Register.Settings settings, FixedRandom random) {
        Register<String> copy = new Register<>(settings, DurableState.fresh(""), random);
        copyInto(register, copy, new IdentityHashMap<>());
        return copy;
    }

    static String print(Object object) {
        StringBuilder text = new StringBuilder();
        print(object, text, new IdentityHashMap<>());
        return text.toString();
    }

    /** Returns the value of the field at this path, or null. */
    static Object at(Object from, String... path) {
        Object found = from;
        for (String name : path) {
            Object next = null;
            for (Field field : fields(found.getClass())) {
                next = field.getName().equals(name) ? get(field, found) : next;
            }
            if (next == null) {
                return null;
            }
            found = next;
        }
        return found;
    }

    /** Resets times, ids and the counted reports. */
    static void resetClocks(Register<String> register) {
        reset(register, new IdentityHashMap<>());
    }

    private static void reset(Object part, Map<Object, Object> seen) {
        if (seen.put(part, part) != null) {
            return;
        }
        for (Field field : fields(part.getClass())) {
            Object value = get(field, part);
            if (field.getType() == double.class) {
                boolean isInThePast = Set.of("nextRunAtMs", "fetchStartedAtMs").contains(field.getName());
                set(field, part, isInThePast ? Double.NEGATIVE_INFINITY : 0.0);
            } else if (nameOf(field).equals("QueryIds.last")) {
                set(field, part, 0L);
            } else if (field.getName().equals("attempt")) {
                set(field, part, 1);
            } else if (nameOf(field).equals("AntiEntropy.reporters")) {
                ((Collection<?>) value).clear();
            } else if (value != null && MUTABLE_PARTS.contains(value.getClass())) {
                reset(value, seen);
            }
        }
    }

    private static void copyInto(Object from, Object to, Map<Object, Object> seen) {
        if (seen.put(from, to) != null) {
            return;
        }
        for (Field field : fields(from.getClass())) {
            Object value = get(field, from);
            if (value instanceof ProposerState.InRound) {
                Round<?> round = new Round<>(Ballot.NONE, Ballot.NONE, null, Set.of(), 0);
                ProposerState.InRound<?> inRound = new ProposerState.InRound<>(null, 0, round);
                copyInto(value, inRound, seen);
                set(field, to, inRound);
            } else if (value instanceof ProposerState) {
                set(field, to, value);
            } else if (value != null && MUTABLE_PARTS.contains(value.getClass())) {
                copyInto(value, get(field, to), seen);
            } else if (value instanceof Collection && !isImmutableSet(value)) {
                copyElements(field, (Collection<?>) value, to);
            } else {
                set(field, to, value);
            }
        }
    }

    private static boolean isImmutableSet(Object value) {
        return value instanceof Set<?> set && Set.copyOf(set) == set;
    }

    @SuppressWarnings("unchecked")
    private static void copyElements(Field field, Collection<?> elements, Object to) {
        if (Modifier.isFinal(field.getModifiers())) {
            Collection<Object> target = (Collection<Object>) get(field, to);
            target.clear();
            target.addAll(elements);
        } else {
            set(field, to, field.getType() == Set.class ? new HashSet<>(elements) : new ArrayList<>(elements));
        }
    }

    private static void print(Object object, StringBuilder text, Map<Object, Object> seen) {
        if (object == null || object instanceof String || object instanceof Number || object instanceof Boolean) {
            text.append(object);
        } else if (object instanceof byte[] bytes) {
            text.append(VersionHistory.read(bytes));
        } else if (object instanceof Ballot || object instanceof AcceptorId || object instanceof Enum) {
            text.append(object);
        } else if (object instanceof Collection) {
            printElements((Collection<?>) object, text);
        } else if (MUTABLE_PARTS.contains(object.getClass()) && seen.put(object, object) != null) {
            text.append('^');
        } else if (object.getClass().getPackage() == Register.class.getPackage()
                && !(object instanceof FixedRandom)
                && !(object instanceof Register.Settings)) {
            printFields(object, text, seen);
        }
    }

    private static void printFields(Object object, StringBuilder text, Map<Object, Object> seen) {
        text.append(object.getClass().getSimpleName()).append('(');
        for (Field field : fields(object.getClass())) {
            if (field.getType() != double.class && !EXCLUDED_FIELDS.contains(nameOf(field))) {
                print(get(field, object), text, seen);
                text.append(';');
            }
        }
        text.append(')');
    }

    private static void printElements(Collection<?> elements, StringBuilder text) {
        List<String> printed = new ArrayList<>();
        for (Object element : elements) {
            printed.add(print(element));
        }
        if (elements instanceof Set) {
            Collections.sort(printed);
        }
        text.append(printed);
    }

    private static String nameOf(Field field) {
        return field.getDeclaringClass().getSimpleName() + "." + field.getName();
    }

    private static List<Field> fields(Class<?> type) {
        return FIELDS.computeIfAbsent(type, RegisterSnapshot::findFields);
    }

    private static List<Field> findFields(Class<?> type) {
        List<Field> found = new ArrayList<>();
        for (Class<?> each = type; !ROOTS.contains(each); each = each.getSuperclass()) {
            for (Field field : each.getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers())) {
                    field.setAccessible(true);
                    found.add(field);
                }
            }
        }
        return found;
    }

    private static Object get(Field field, Object object) {
        try {
            return field.get(object);
        } catch (IllegalAccessException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static void set(Field field, Object object, Object value) {
        try {
            field.set(object, value);
        } catch (IllegalAccessException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
