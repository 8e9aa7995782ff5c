package rampshift.leases;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Copies of real state machines, and their state as text: what an explorer needs of objects that know of
 * neither.
 */
final class StateCopier {
    private static final Map<Class<?>, Field[]> FIELDS = new java.util.concurrent.ConcurrentHashMap<>();

    private StateCopier() {}

    /** Shared: what is not copied and not looked into, as the outside world. */
    static <T> T copy(T from, Map<Object, Object> shared) {
        return copied(from, new IdentityHashMap<>(shared));
    }

    private static boolean plain(Object o) {
        return o == null || o instanceof String || o instanceof Number || o instanceof Boolean
                || o instanceof Enum
                || o instanceof Record || o instanceof Class;
    }

    @SuppressWarnings("unchecked")
    private static <T> T copied(T from, Map<Object, Object> done) {
        if (plain(from) || from.getClass().isArray()) {
            return from;        // records and arrays here hold what never changes
        }
        Object known = done.get(from);
        if (known != null) {
            return (T) known;
        }
        if (from instanceof Map<?, ?> map) {
            Map<Object, Object> to = from instanceof TreeMap ? new TreeMap<>()
                    : from instanceof LinkedHashMap ? new LinkedHashMap<>()
                            : from instanceof HashMap ? new HashMap<>() : null;
            if (to == null) {
                return from;    // unmodifiable
            }
            done.put(from, to);
            map.forEach((k, v) -> to.put(copied(k, done), copied(v, done)));
            return (T) to;
        }
        if (from instanceof Collection<?> all) {
            Collection<Object> to = from instanceof TreeSet ? new TreeSet<>()
                    : from instanceof ArrayList ? new ArrayList<>() : null;
            if (to == null) {
                return from;
            }
            done.put(from, to);
            all.forEach(e -> to.add(copied(e, done)));
            return (T) to;
        }
        try {
            Object to = unsafe().allocateInstance(from.getClass());
            done.put(from, to);
            for (Field f : fields(from.getClass())) {
                f.set(to, copied(f.get(from), done));
            }
            return (T) to;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    static Object get(Object of, String field) {
        try {
            for (Field f : fields(of.getClass())) {
                if (f.getName().equals(field)) {
                    return f.get(of);
                }
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
        throw new IllegalArgumentException(field);
    }

    /** Puts a private field to a value that its class would have come to by a way of no concern here. */
    static void set(Object of, String field, Object value) {
        try {
            for (Field f : fields(of.getClass())) {
                if (f.getName().equals(field)) {
                    f.set(of, value);
                }
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static sun.misc.Unsafe unsafe() throws ReflectiveOperationException {
        return Holder.UNSAFE;
    }

    private static final class Holder {
        static final sun.misc.Unsafe UNSAFE;

        static {
            try {
                Field f = sun.misc.Unsafe.class.getDeclaredField("theUnsafe");
                f.setAccessible(true);
                UNSAFE = (sun.misc.Unsafe) f.get(null);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static Field[] fields(Class<?> of) {
        return FIELDS.computeIfAbsent(of, c -> {
            List<Field> all = new ArrayList<>();
            for (Class<?> k = c; k != Object.class; k = k.getSuperclass()) {
                for (Field f : k.getDeclaredFields()) {
                    if (!Modifier.isStatic(f.getModifiers())) {
                        f.setAccessible(true);
                        all.add(f);
                    }
                }
            }
            return all.toArray(Field[]::new);
        });
    }

    /** All of it, in an order that is always the same. */
    static void print(Object o, StringBuilder to, Map<Object, Object> shared) {
        if (o != null && shared.containsKey(o)) {
            to.append('^');
        } else if (plain(o)) {
            to.append(o).append(';');
        } else if (o instanceof Map<?, ?> map) {
            to.append('{');
            (o instanceof HashMap && !(o instanceof LinkedHashMap) ? new TreeMap<>(map) : map)
                    .forEach((k, v) -> {
                        print(k, to, shared);
                        print(v, to, shared);
                    });
            to.append('}');
        } else if (o instanceof Collection<?> all) {
            to.append('[');
            all.forEach(e -> print(e, to, shared));
            to.append(']');
        } else if (o.getClass().isArray()) {
            to.append(Arrays.hashCode((byte[]) o)).append(',');
        } else {
            to.append('(');
            for (Field f : fields(o.getClass())) {
                try {
                    print(f.get(o), to, shared);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(e);
                }
            }
            to.append(')');
        }
    }
}
