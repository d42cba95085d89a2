import { scenarioTests } from '@thornsail/simulation';

scenarioTests.run('storm'.split(','), [1, 2, 3]);
