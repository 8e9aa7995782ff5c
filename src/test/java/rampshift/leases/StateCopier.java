package rampshift.leases;

import java.lang.reflect.Field;
import java.lang.reflect.Method;
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
import java.util.concurrent.ConcurrentHashMap;

/** Copies state machines and prints their state by reflection, since they do not support the explorer. */
final class StateCopier {
    private static final Map<Class<?>, Field[]> FIELDS = new ConcurrentHashMap<>();

    private StateCopier() {}

    /** Returns a deep copy. Shared objects, such as the environment, are neither copied nor traversed. */
    static <T> T copy(T original, IdentityHashMap<Object, Object> shared) {
        return copyOnce(original, new IdentityHashMap<>(shared));
    }

    private static boolean isImmutable(Object value) {
        return value == null || value instanceof String || value instanceof Number || value instanceof Boolean
                || value instanceof Enum || value instanceof Record || value instanceof Class;
    }

    @SuppressWarnings("unchecked")
    private static <T> T copyOnce(T original, IdentityHashMap<Object, Object> copies) {
        if (isImmutable(original) || original.getClass().isArray()) {
            return original; // records and arrays here are never modified
        }
        Object known = copies.get(original);
        if (known != null) {
            return (T) known;
        }
        if (original instanceof Map<?, ?> map) {
            return (T) copyMap(map, copies);
        }
        if (original instanceof Collection<?> collection) {
            return (T) copyCollection(collection, copies);
        }
        try {
            Object copy = Allocator.allocate(original.getClass());
            copies.put(original, copy);
            for (Field field : fields(original.getClass())) {
                field.set(copy, copyOnce(field.get(original), copies));
            }
            return (T) copy;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Map<?, ?> copyMap(Map<?, ?> original, IdentityHashMap<Object, Object> copies) {
        Map<Object, Object> copy;
        if (original instanceof TreeMap) {
            copy = new TreeMap<>();
        } else if (original instanceof LinkedHashMap) {
            copy = new LinkedHashMap<>();
        } else if (original instanceof HashMap) {
            copy = new HashMap<>();
        } else {
            return original; // unmodifiable
        }
        copies.put(original, copy);
        original.forEach((key, value) -> copy.put(copyOnce(key, copies), copyOnce(value, copies)));
        return copy;
    }

    private static Collection<?> copyCollection(Collection<?> original,
            IdentityHashMap<Object, Object> copies) {
        Collection<Object> copy;
        if (original instanceof TreeSet) {
            copy = new TreeSet<>();
        } else if (original instanceof ArrayList) {
            copy = new ArrayList<>();
        } else {
            return original; // unmodifiable
        }
        copies.put(original, copy);
        original.forEach(element -> copy.add(copyOnce(element, copies)));
        return copy;
    }

    /** Returns the value of a private field. */
    static Object get(Object owner, String fieldName) {
        try {
            return field(owner, fieldName).get(owner);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sets a private field to a value that would otherwise need steps that are not explored. */
    static void set(Object owner, String fieldName, Object value) {
        try {
            field(owner, fieldName).set(owner, value);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Field field(Object owner, String name) {
        for (Field field : fields(owner.getClass())) {
            if (field.getName().equals(name)) {
                return field;
            }
        }
        throw new IllegalArgumentException(name);
    }

    /** Creates instances without a constructor, since the copied classes have no copy constructors. */
    private static final class Allocator {
        private static final Object UNSAFE;
        private static final Method ALLOCATE;

        static {
            try {
                Class<?> type = Class.forName("sun.misc.Unsafe");
                Field instance = type.getDeclaredField("theUnsafe");
                instance.setAccessible(true);
                UNSAFE = instance.get(null);
                ALLOCATE = type.getMethod("allocateInstance", Class.class);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }

        static Object allocate(Class<?> type) throws ReflectiveOperationException {
            return ALLOCATE.invoke(UNSAFE, type);
        }
    }

    private static Field[] fields(Class<?> type) {
        return FIELDS.computeIfAbsent(type, StateCopier::instanceFields);
    }

    private static Field[] instanceFields(Class<?> type) {
        List<Field> found = new ArrayList<>();
        for (Class<?> declaring = type; declaring != Object.class; declaring = declaring.getSuperclass()) {
            for (Field field : declaring.getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers())) {
                    field.setAccessible(true);
                    found.add(field);
                }
            }
        }
        return found.toArray(Field[]::new);
    }

    /** Prints the whole state in a deterministic order. */
    static void print(Object value, StringBuilder text, IdentityHashMap<Object, Object> shared) {
        if (value != null && shared.containsKey(value)) {
            text.append('^');
        } else if (isImmutable(value)) {
            text.append(value).append(';');
        } else if (value instanceof Map<?, ?> map) {
            printMap(map, text, shared);
        } else if (value instanceof Collection<?> collection) {
            text.append('[');
            collection.forEach(element -> print(element, text, shared));
            text.append(']');
        } else if (value.getClass().isArray()) {
            text.append(Arrays.hashCode((byte[]) value)).append(',');
        } else {
            text.append('(');
            for (Field field : fields(value.getClass())) {
                try {
                    print(field.get(value), text, shared);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(e);
                }
            }
            text.append(')');
        }
    }

    private static void printMap(Map<?, ?> map, StringBuilder text, IdentityHashMap<Object, Object> shared) {
        boolean isUnordered = map instanceof HashMap && !(map instanceof LinkedHashMap);
        text.append('{');
        (isUnordered ? new TreeMap<>(map) : map).forEach((key, value) -> {
            print(key, text, shared);
            print(value, text, shared);
        });
        text.append('}');
    }
}
