import { scenarioTests } from '@thornsail/simulation';

scenarioTests.run('disk,clocks,workers'.split(','), [1, 2]);
