package org.cassiabank.declaration;

import java.util.AbstractCollection;
import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.cassiabank.collection.PersistentMap;

/**
 * All entities in force at one revision. A changed copy shares all unchanged entities with the original.
 */
public final class Configuration {
    private static final Configuration EMPTY = new Configuration(0, emptyMaps());

    private final long revision;
    private final Map<EntityKind, PersistentMap<String, VersionedDeclaration>> byKind;

    private Configuration(long revision, Map<EntityKind, PersistentMap<String, VersionedDeclaration>> byKind) {
        this.revision = revision;
        this.byKind = byKind;
    }

    /**
     * Returns the configuration before the first change.
     *
     * @return the configuration without entities, with revision 0
     */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Creates a configuration from the entities of a snapshot.
     *
     * @param revision the revision of the snapshot
     * @param entities the entities, each key at most once
     * @return the configuration
     * @throws IllegalArgumentException if a key occurs twice or an entity is newer than the snapshot
     */
    public static Configuration of(long revision, Collection<VersionedDeclaration> entities) {
        Map<EntityKind, PersistentMap<String, VersionedDeclaration>> maps = emptyMaps();
        for (VersionedDeclaration entity : entities) {
            EntityKey key = entity.declaration().key();
            if (entity.revision() > revision) {
                throw new IllegalArgumentException(
                        key + " has revision " + entity.revision() + ", which is newer than " + revision);
            }
            PersistentMap<String, VersionedDeclaration> map = maps.get(key.kind());
            if (map.containsKey(key.name())) {
                throw new IllegalArgumentException(key + " occurs twice");
            }
            maps.put(key.kind(), map.with(key.name(), entity));
        }
        return new Configuration(revision, maps);
    }

    /**
     * Returns a copy with some entities replaced or removed.
     *
     * @param newRevision the revision of the copy, higher than the own one
     * @param puts the entities to add or replace
     * @param deletes the keys of the entities to remove; unknown ones are ignored
     * @return the copy
     * @throws IllegalArgumentException if the revision is not higher
     */
    public Configuration withChanges(long newRevision, Collection<Declaration> puts, Collection<EntityKey> deletes) {
        if (newRevision <= revision) {
            throw new IllegalArgumentException("revision " + newRevision + " does not follow revision " + revision);
        }
        Map<EntityKind, PersistentMap<String, VersionedDeclaration>> maps = new EnumMap<>(byKind);
        for (EntityKey key : deletes) {
            maps.put(key.kind(), maps.get(key.kind()).without(key.name()));
        }
        for (Declaration declaration : puts) {
            EntityKey key = declaration.key();
            VersionedDeclaration versioned = new VersionedDeclaration(declaration, newRevision);
            maps.put(key.kind(), maps.get(key.kind()).with(key.name(), versioned));
        }
        return new Configuration(newRevision, maps);
    }

    /**
     * Returns a configuration that has exactly the given entities. Those that are the same as before are shared and
     * keep the revision of their last change.
     *
     * @param newRevision the revision of the copy, higher than the own one
     * @param declarations all entities
     * @return the configuration
     * @throws IllegalArgumentException if the revision is not higher or a key occurs twice
     */
    public Configuration withEntities(long newRevision, Collection<Declaration> declarations) {
        Set<EntityKey> present = new HashSet<>();
        List<Declaration> changed = new ArrayList<>();
        for (Declaration declaration : declarations) {
            if (!present.add(declaration.key())) {
                throw new IllegalArgumentException(declaration.key() + " occurs twice");
            }
            if (find(declaration.key())
                    .filter(known -> known.declaration().equals(declaration))
                    .isEmpty()) {
                changed.add(declaration);
            }
        }
        List<EntityKey> removed = entities().keySet().stream()
                .filter(key -> !present.contains(key))
                .toList();
        return withChanges(newRevision, changed, removed);
    }

    /**
     * Returns the revision of the last change that is included.
     *
     * @return the revision, 0 if there was no change yet
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns all entities with the revisions at which they were last changed.
     *
     * @return an immutable view, in no particular order
     */
    public Map<EntityKey, VersionedDeclaration> entities() {
        return new EntityView();
    }

    /**
     * Finds an entity.
     *
     * @param key the key
     * @return the entity, or empty if there is none
     */
    public Optional<VersionedDeclaration> find(EntityKey key) {
        return Optional.ofNullable(byKind.get(key.kind()).get(key.name()));
    }

    /**
     * Finds a service.
     *
     * @param name the name of the service
     * @return the service, or empty if there is none
     */
    public Optional<ServiceDeclaration> service(String name) {
        Objects.requireNonNull(name, "name");
        return find(new EntityKey(EntityKind.SERVICE, name)).map(found -> (ServiceDeclaration) found.declaration());
    }

    /**
     * Returns the limits on what callers send.
     *
     * @return the limits, or empty if none are declared
     */
    public Optional<ConnectionLimits> connectionLimits() {
        return find(new EntityKey(EntityKind.LIMITS, ConnectionLimits.NAME))
                .map(found -> (ConnectionLimits) found.declaration());
    }

    /**
     * Returns all services.
     *
     * @return an immutable view, in no particular order
     */
    public Collection<ServiceDeclaration> services() {
        return view(EntityKind.SERVICE, ServiceDeclaration.class);
    }

    /**
     * Returns all label rules.
     *
     * @return an immutable view, in no particular order
     */
    public Collection<LabelRule> labels() {
        return view(EntityKind.LABEL, LabelRule.class);
    }

    /**
     * Returns all selectors.
     *
     * @return an immutable view, in no particular order
     */
    public Collection<Selector> selectors() {
        return view(EntityKind.SELECTOR, Selector.class);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration that && revision == that.revision && byKind.equals(that.byKind);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(revision);
    }

    @Override
    public String toString() {
        return "Configuration[revision " + revision + ", " + entities().size() + " entities]";
    }

    /** Returns the entities of one kind by name. */
    PersistentMap<String, VersionedDeclaration> ofKind(EntityKind kind) {
        return byKind.get(kind);
    }

    private static Map<EntityKind, PersistentMap<String, VersionedDeclaration>> emptyMaps() {
        Map<EntityKind, PersistentMap<String, VersionedDeclaration>> maps = new EnumMap<>(EntityKind.class);
        for (EntityKind kind : EntityKind.values()) {
            maps.put(kind, PersistentMap.empty());
        }
        return maps;
    }

    private <T extends Declaration> Collection<T> view(EntityKind kind, Class<T> type) {
        PersistentMap<String, VersionedDeclaration> map = byKind.get(kind);
        return new AbstractCollection<>() {
            @Override
            public int size() {
                return map.size();
            }

            @Override
            public Iterator<T> iterator() {
                Iterator<VersionedDeclaration> entities = map.values().iterator();
                return new Iterator<>() {
                    @Override
                    public boolean hasNext() {
                        return entities.hasNext();
                    }

                    @Override
                    public T next() {
                        return type.cast(entities.next().declaration());
                    }
                };
            }
        };
    }

    /** All kinds as one map. */
    private final class EntityView extends AbstractMap<EntityKey, VersionedDeclaration> {
        @Override
        public int size() {
            return byKind.values().stream().mapToInt(Map::size).sum();
        }

        @Override
        public boolean containsKey(Object key) {
            return get(key) != null;
        }

        @Override
        public VersionedDeclaration get(Object key) {
            return key instanceof EntityKey wanted ? find(wanted).orElse(null) : null;
        }

        @Override
        public Set<Entry<EntityKey, VersionedDeclaration>> entrySet() {
            return new AbstractSet<>() {
                @Override
                public int size() {
                    return EntityView.this.size();
                }

                @Override
                public Iterator<Entry<EntityKey, VersionedDeclaration>> iterator() {
                    Stream<Entry<EntityKey, VersionedDeclaration>> entries = byKind.values().stream()
                            .flatMap(map -> map.values().stream())
                            .map(entity -> Map.entry(entity.declaration().key(), entity));
                    return entries.iterator();
                }
            };
        }
    }
}
