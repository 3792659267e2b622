/**
 * Following the platform's store, and the duties that one daemon at a time carries out.
 */
package org.ragwortpitch.edge.control;
