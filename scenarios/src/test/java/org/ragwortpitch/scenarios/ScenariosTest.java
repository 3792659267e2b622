package org.ragwortpitch.scenarios;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/**
 * Runs all scenarios except those tagged {@code @known-red}, which KNOWN-RED.txt lists.
 */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("scenarios")
@ConfigurationParameter(key = "cucumber.glue", value = "org.ragwortpitch.scenarios")
@ConfigurationParameter(key = "cucumber.filter.tags", value = "not @known-red")
@ConfigurationParameter(key = "cucumber.plugin", value = "summary")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class ScenariosTest {}
