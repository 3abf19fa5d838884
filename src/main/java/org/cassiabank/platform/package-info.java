/**
 * The language of the users' platform: names, formats and calls. Nothing here decides anything, and nothing outside
 * knows its names; the product finds it by the name of its {@link org.cassiabank.source.PlatformAdapter}.
 */
package org.cassiabank.platform;
