package org.cassiabank.declaration;

/**
 * One entity that operators declare.
 */
public sealed interface Declaration permits ConnectionLimits, LabelRule, ServiceDeclaration, Selector {

    /**
     * Returns the kind and the name of the entity.
     *
     * @return the key
     */
    EntityKey key();
}
