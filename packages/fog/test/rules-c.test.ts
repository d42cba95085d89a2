import { rules } from '@thornsail/fog';

rules.test('leaving,config,durable'.split(','), [1, 2, 3]);
