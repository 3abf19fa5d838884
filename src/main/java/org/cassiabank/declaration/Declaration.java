package org.cassiabank.declaration;

/**
 * An entity of the configuration, declared by operators.
 */
public sealed interface Declaration
        permits ConnectionLimits, CustomerDeclaration, LabelRule, ServiceDeclaration, Selector {

    /**
     * Returns the kind and the name of the entity.
     *
     * @return the key
     */
    EntityKey key();
}
