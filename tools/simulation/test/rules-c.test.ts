import { scenarioTests } from '@thornsail/simulation';

scenarioTests.run('leaving,config,durable'.split(','), [1, 2, 3]);
