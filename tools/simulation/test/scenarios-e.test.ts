// Scenario tests, split over several files so that they run in parallel.
import { scenarioTests } from '@thornsail/simulation';

scenarioTests.run('rolling,random'.split(','), [1, 2, 3]);
