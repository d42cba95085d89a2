// Scenario tests, split over several files so that they run in parallel.
import { scenarioTests } from '@thornsail/simulation';

scenarioTests.run('streams,urgent,closing'.split(','), [1, 2, 3]);
