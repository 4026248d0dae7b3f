package org.bergamothoist.core.sheet;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios of two offices that submit conflicting sheets. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("org/bergamothoist/core/sheet/two_offices.feature")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.bergamothoist.core.sheet")
class TwoOfficesFeatureTest {}
