/**
 * The adapter of the users' platform: its names, formats and store calls. The package contains no policy, and no other
 * package depends on it; the product finds it by the name of its {@link org.cassiabank.source.PlatformAdapter}.
 */
package org.cassiabank.platform;
