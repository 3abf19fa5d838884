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
 * All declared entities at one revision. Immutable; a changed copy shares all unchanged entities with the original.
 */
public final class Configuration {
    private static final Configuration EMPTY = new Configuration(0, emptyMapsByKind());

    private final long revision;
    private final Map<EntityKind, PersistentMap<String, VersionedDeclaration>> entitiesByKind;

    private Configuration(long revision, Map<EntityKind, PersistentMap<String, VersionedDeclaration>> entitiesByKind) {
        this.revision = revision;
        this.entitiesByKind = entitiesByKind;
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
        Map<EntityKind, PersistentMap<String, VersionedDeclaration>> mapsByKind = emptyMapsByKind();
        for (VersionedDeclaration entity : entities) {
            EntityKey key = entity.declaration().key();
            if (entity.revision() > revision) {
                throw new IllegalArgumentException(
                        key + " has revision " + entity.revision() + ", which is newer than " + revision);
            }
            PersistentMap<String, VersionedDeclaration> map = mapsByKind.get(key.kind());
            if (map.containsKey(key.name())) {
                throw new IllegalArgumentException(key + " occurs twice");
            }
            mapsByKind.put(key.kind(), map.with(key.name(), entity));
        }
        return new Configuration(revision, mapsByKind);
    }

    /**
     * Returns a copy with some entities replaced or removed.
     *
     * @param newRevision the revision of the copy, higher than that of this configuration
     * @param puts the entities to add or replace; they are applied after the removals
     * @param deletes the keys of the entities to remove; keys without an entity are ignored
     * @return the copy
     * @throws IllegalArgumentException if {@code newRevision} is not higher
     */
    public Configuration withChanges(long newRevision, Collection<Declaration> puts, Collection<EntityKey> deletes) {
        if (newRevision <= revision) {
            throw new IllegalArgumentException("revision " + newRevision + " does not follow revision " + revision);
        }
        return copyWith(newRevision, puts, deletes);
    }

    private Configuration copyWith(long newRevision, Collection<Declaration> puts, Collection<EntityKey> deletes) {
        Map<EntityKind, PersistentMap<String, VersionedDeclaration>> mapsByKind = new EnumMap<>(entitiesByKind);
        for (EntityKey key : deletes) {
            mapsByKind.put(key.kind(), mapsByKind.get(key.kind()).without(key.name()));
        }
        for (Declaration declaration : puts) {
            EntityKey key = declaration.key();
            VersionedDeclaration versioned = new VersionedDeclaration(declaration, newRevision);
            mapsByKind.put(key.kind(), mapsByKind.get(key.kind()).with(key.name(), versioned));
        }
        return new Configuration(newRevision, mapsByKind);
    }

    /**
     * Returns a configuration that has exactly the given entities. Entities equal to those of this configuration are
     * shared and keep the revision of their last change.
     *
     * @param newRevision the revision of the copy, not lower than that of this configuration
     * @param declarations all entities of the copy, each key at most once
     * @return the configuration
     * @throws IllegalArgumentException if {@code newRevision} is lower or a key occurs twice
     */
    public Configuration withEntities(long newRevision, Collection<Declaration> declarations) {
        if (newRevision < revision) {
            throw new IllegalArgumentException("revision " + newRevision + " is before revision " + revision);
        }
        Set<EntityKey> declaredKeys = new HashSet<>();
        List<Declaration> changedDeclarations = new ArrayList<>();
        for (Declaration declaration : declarations) {
            if (!declaredKeys.add(declaration.key())) {
                throw new IllegalArgumentException(declaration.key() + " occurs twice");
            }
            if (find(declaration.key())
                    .filter(existing -> existing.declaration().equals(declaration))
                    .isEmpty()) {
                changedDeclarations.add(declaration);
            }
        }
        List<EntityKey> removedKeys = entities().keySet().stream()
                .filter(key -> !declaredKeys.contains(key))
                .toList();
        return copyWith(newRevision, changedDeclarations, removedKeys);
    }

    /**
     * Returns the revision of the last change that the configuration includes.
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
     * Returns the entity with a key.
     *
     * @param key the kind and name of the entity
     * @return the entity with its revision, or empty if there is none
     */
    public Optional<VersionedDeclaration> find(EntityKey key) {
        return Optional.ofNullable(entitiesByKind.get(key.kind()).get(key.name()));
    }

    /**
     * Returns the service with a name.
     *
     * @param name the name of the service, not null
     * @return the service, or empty if none is declared
     */
    public Optional<ServiceDeclaration> service(String name) {
        Objects.requireNonNull(name, "name");
        return find(new EntityKey(EntityKind.SERVICE, name)).map(entity -> (ServiceDeclaration) entity.declaration());
    }

    /**
     * Returns the limits on the requests and connections of callers.
     *
     * @return the limits, or empty if none are declared
     */
    public Optional<ConnectionLimits> connectionLimits() {
        return find(new EntityKey(EntityKind.LIMITS, ConnectionLimits.NAME))
                .map(entity -> (ConnectionLimits) entity.declaration());
    }

    /**
     * Returns the customer with a name.
     *
     * @param name the name of the customer, not null
     * @return the customer, or empty if none is declared
     */
    public Optional<CustomerDeclaration> customer(String name) {
        Objects.requireNonNull(name, "name");
        return find(new EntityKey(EntityKind.CUSTOMER, name)).map(entity -> (CustomerDeclaration) entity.declaration());
    }

    /**
     * Returns all customers.
     *
     * @return an immutable view, in no particular order
     */
    public Collection<CustomerDeclaration> customers() {
        return declarationsOfKind(EntityKind.CUSTOMER, CustomerDeclaration.class);
    }

    /**
     * Returns all services.
     *
     * @return an immutable view, in no particular order
     */
    public Collection<ServiceDeclaration> services() {
        return declarationsOfKind(EntityKind.SERVICE, ServiceDeclaration.class);
    }

    /**
     * Returns all label rules.
     *
     * @return an immutable view, in no particular order
     */
    public Collection<LabelRule> labels() {
        return declarationsOfKind(EntityKind.LABEL, LabelRule.class);
    }

    /**
     * Returns all selectors.
     *
     * @return an immutable view, in no particular order
     */
    public Collection<Selector> selectors() {
        return declarationsOfKind(EntityKind.SELECTOR, Selector.class);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration that
                && revision == that.revision
                && entitiesByKind.equals(that.entitiesByKind);
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
    PersistentMap<String, VersionedDeclaration> entitiesOfKind(EntityKind kind) {
        return entitiesByKind.get(kind);
    }

    private static Map<EntityKind, PersistentMap<String, VersionedDeclaration>> emptyMapsByKind() {
        Map<EntityKind, PersistentMap<String, VersionedDeclaration>> mapsByKind = new EnumMap<>(EntityKind.class);
        for (EntityKind kind : EntityKind.values()) {
            mapsByKind.put(kind, PersistentMap.empty());
        }
        return mapsByKind;
    }

    private <T extends Declaration> Collection<T> declarationsOfKind(EntityKind kind, Class<T> type) {
        PersistentMap<String, VersionedDeclaration> map = entitiesByKind.get(kind);
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

    /** A read-only map of the entities of all kinds. */
    private final class EntityView extends AbstractMap<EntityKey, VersionedDeclaration> {
        @Override
        public int size() {
            return entitiesByKind.values().stream().mapToInt(Map::size).sum();
        }

        @Override
        public boolean containsKey(Object key) {
            return get(key) != null;
        }

        @Override
        public VersionedDeclaration get(Object key) {
            return key instanceof EntityKey entityKey ? find(entityKey).orElse(null) : null;
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
                    Stream<Entry<EntityKey, VersionedDeclaration>> entries = entitiesByKind.values().stream()
                            .flatMap(map -> map.values().stream())
                            .map(entity -> Map.entry(entity.declaration().key(), entity));
                    return entries.iterator();
                }
            };
        }
    }
}
