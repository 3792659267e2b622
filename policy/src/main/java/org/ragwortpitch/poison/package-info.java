/**
 * Detection of requests and prefix blocks that crash the endpoints which execute them. Requests are identified by a
 * fingerprint of their content. Crashes are judged as sets that daemons merge; the earlier daemon counts them.
 */
package org.ragwortpitch.poison;
